use {
    crate::entry_client::EntryClient,
    anyhow::{bail, ensure},
    setup::StartError,
};

/// Take an entry out of service without cutting a request, or a target out of its use.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainArgs {
    /// address of the entry's operators' interface, `ip:port`
    #[argh(option)]
    entry: String,
    /// target that is leaving; the entry itself if absent
    #[argh(option)]
    target: Option<String>,
    /// the target may be used again
    #[argh(switch)]
    undo: bool,
}

/// Drains an entry or a target.
pub async fn drain(args: DrainArgs) -> anyhow::Result<()> {
    let client = EntryClient::new(&args.entry);
    let Some(target) = &args.target else {
        if args.undo {
            bail!(StartError::Settings(String::from(
                "--undo needs --target; an entry that leaves does not come back"
            )));
        }
        client.post("/drain").await?;
        println!("entry {} is leaving", args.entry);
        return Ok(());
    };
    let named = !target.is_empty() && target.bytes().all(super::is_unreserved);
    ensure!(
        named,
        StartError::Settings(format!("`{target}` is no name of a target"))
    );
    let state = if args.undo { "live" } else { "leaving" };
    client.post(&format!("/targets/{target}/{state}")).await?;
    println!("target {target} is {state}");
    Ok(())
}
