use {crate::drive::EntryClient, load::WorkloadFile};

/// Print the entries for the customer with the largest share of the requests, best first.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "address")]
pub struct AddressArgs {
    /// address at which the entry to ask serves callers
    #[argh(option)]
    entry: String,
    /// workload file (TOML)
    #[argh(option)]
    workload: String,
}

/// Asks an entry which addresses the customer should use and prints one a line.
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
    for entry in answer.addresses {
        println!("{}", entry.address);
    }
    Ok(())
}
