use crate::{entry_client::EntryClient, status_table::StatusTable};

/// Show the status of entries, one column for each.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// address of an entry's operators' interface, `ip:port`; may be repeated
    #[argh(option)]
    entry: Vec<String>,
    /// print one line with a JSON object for each entry
    #[argh(switch)]
    json: bool,
}

/// Prints the status of entries; fails if one of them does not answer.
pub async fn status(args: StatusArgs) -> anyhow::Result<()> {
    super::require_entry(&args.entry)?;
    let mut table = StatusTable::default();
    for address in &args.entry {
        let status = EntryClient::new(address).get("/status").await?;
        if args.json {
            println!("{status}");
        }
        table.add_column(address, &status);
    }
    if !args.json {
        print!("{table}");
    }
    Ok(())
}
