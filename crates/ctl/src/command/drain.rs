use {
    crate::entry_client::EntryClient,
    anyhow::{bail, ensure},
    setup::StartError,
};

/// Take an entry out of service without breaking its requests, or a target out of use in the whole
/// fleet.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainArgs {
    /// address of the entry's operators' interface, `ip:port`
    #[argh(option)]
    entry: String,
    /// target to take out of use; without it, the entry itself leaves
    #[argh(option)]
    target: Option<String>,
    /// put the target back into use
    #[argh(switch)]
    undo: bool,
}

/// Drains an entry or a target, or puts a target back into use.
pub async fn drain(args: DrainArgs) -> anyhow::Result<()> {
    let client = EntryClient::new(&args.entry);
    let Some(target) = &args.target else {
        if args.undo {
            bail!(StartError::Settings(String::from(
                "--undo needs --target; an entry that is leaving cannot be put back into service"
            )));
        }
        client.post("/drain").await?;
        println!("entry {} is leaving", args.entry);
        return Ok(());
    };
    let is_valid_name = !target.is_empty() && target.bytes().all(super::is_unreserved);
    ensure!(
        is_valid_name,
        StartError::Settings(format!("`{target}` is not a valid name of a target"))
    );
    let state = if args.undo { "live" } else { "leaving" };
    client.post(&format!("/targets/{target}/{state}")).await?;
    println!("target {target} is {state}");
    Ok(())
}
