use {crate::drive::EntryClient, load::WorkloadFile};

/// Print the entries that the customer with the largest share is told to use, best first.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "address")]
pub struct AddressArgs {
    /// callers' address of the entry to ask
    #[argh(option)]
    entry: String,
    /// workload file (TOML)
    #[argh(option)]
    workload: String,
}

/// Asks an entry for the customer's addresses and prints one a line.
pub async fn address(args: AddressArgs) -> anyhow::Result<()> {
    let workload = WorkloadFile::load(&args.workload)?;
    let largest_customer = workload
        .customer
        .iter()
        .max_by(|one, other| one.share.total_cmp(&other.share));
    let Some(customer) = largest_customer else {
        anyhow::bail!("workload file {} has no customer", args.workload);
    };
    let answer = EntryClient::new()
        .fetch_addresses(&args.entry, customer)
        .await;
    let Some(answer) = answer else {
        anyhow::bail!("entry {} did not return addresses", args.entry);
    };
    for row in answer.addresses {
        println!("{}", row.address);
    }
    Ok(())
}
