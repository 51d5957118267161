use {
    crate::drive::EntryClient,
    base::SheetVersion,
    load::{CustomerLoad, ProcessRegistry, SheetTemplate, TopologyFile, WorkloadFile},
    stand::SheetPublisher,
    std::time::{Duration, Instant},
};

/// Time within which every entry must have a published sheet in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(12);
/// Pause between two requests that ask an entry which sheet version is in force.
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Publish a sheet and a host list to the platform stand-in.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "publish")]
pub struct PublishArgs {
    /// operators' address of the platform stand-in
    #[argh(option)]
    platform: String,
    /// directory with the parts of the sheet
    #[argh(option)]
    sheet: String,
    /// file with the ready lines that targets and entries printed
    #[argh(option)]
    ready: String,
    /// topology file; its entries make up the host list, which is published too
    #[argh(option)]
    topology: Option<String>,
    /// workload file; the command then waits until the sheet is in force, asking the entries as the
    /// first customer
    #[argh(option)]
    workload: Option<String>,
    /// version of the sheet (default 1)
    #[argh(option, default = "1")]
    version: SheetVersion,
}

/// Publishes a sheet and, if a topology is given, the host list of its entries. With a workload,
/// waits until the sheet is in force at all of them.
pub async fn publish(args: PublishArgs) -> anyhow::Result<()> {
    let registry = ProcessRegistry::load(&args.ready)?;
    let parts = SheetTemplate::load(&args.sheet)?.fill(&registry)?;
    let publisher = SheetPublisher::new(args.platform.as_str());
    let mut entries = Vec::new();
    if let Some(path) = &args.topology {
        let list = TopologyFile::load(path)?.host_list(&registry)?;
        publisher.put_hosts(&list).await?;
        entries.extend(list.hosts.into_iter().map(|host| host.callers));
    }
    publisher.publish(args.version, &parts).await?;
    let Some(path) = &args.workload else {
        println!("published version {}", args.version);
        return Ok(());
    };
    let workload = WorkloadFile::load(path)?;
    let start = Instant::now();
    if let Some(customer) = workload.customer.first() {
        await_version(&entries, customer, args.version).await?;
    }
    println!(
        "version {} in force at {} entries after {} ms",
        args.version,
        entries.len(),
        start.elapsed().as_millis()
    );
    Ok(())
}

/// Waits until every entry reports this sheet version or a later one.
///
/// # Errors
///
/// Names the entry that still has an older version after `IN_FORCE_TIMEOUT`.
async fn await_version(
    entries: &[String],
    customer: &CustomerLoad,
    version: SheetVersion,
) -> anyhow::Result<()> {
    let client = EntryClient::new();
    let deadline = Instant::now() + IN_FORCE_TIMEOUT;
    for entry in entries {
        loop {
            let answer = client.fetch_addresses(entry, customer).await;
            if answer.is_some_and(|answer| answer.sheet_version >= version) {
                break;
            }
            let is_late = Instant::now() >= deadline;
            anyhow::ensure!(
                !is_late,
                "sheet version {version} is not in force at entry {entry}"
            );
            actix_rt::time::sleep(IN_FORCE_POLL_INTERVAL).await;
        }
    }
    Ok(())
}
