use crate::{entry_client::EntryClient, status_table::StatusTable};

/// Show what entries say of themselves, one column for each.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// address of an entry's operators' interface, `ip:port`; may be repeated
    #[argh(option)]
    entry: Vec<String>,
    /// print one JSON object a line for each entry
    #[argh(switch)]
    json: bool,
}

/// Shows the status of entries.
pub async fn status(args: StatusArgs) -> anyhow::Result<()> {
    super::require_entry(&args.entry)?;
    let mut table = StatusTable::default();
    for address in &args.entry {
        let status = EntryClient::new(address).get("/status").await?;
        if args.json {
            println!("{status}");
        }
        table.add(address, &status);
    }
    if !args.json {
        print!("{table}");
    }
    Ok(())
}
