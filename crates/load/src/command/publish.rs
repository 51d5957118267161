use {
    base::SheetVersion,
    load::{ReadyBook, SheetTemplate, TopologyFile},
    stand::SheetPublisher,
};

/// Publish a sheet and a host list at the platform stand-in.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "publish")]
pub struct PublishArgs {
    /// operators' address of the platform stand-in
    #[argh(option)]
    platform: String,
    /// directory with the parts of the sheet
    #[argh(option)]
    sheet: String,
    /// file with the ready lines of targets and entries
    #[argh(option)]
    ready: String,
    /// topology file; gives the host list
    #[argh(option)]
    topology: Option<String>,
    /// version of the sheet (default 1)
    #[argh(option, default = "1")]
    version: SheetVersion,
}

/// Publishes a sheet and, if there is a topology, the host list of its entries.
pub async fn publish(args: PublishArgs) -> anyhow::Result<()> {
    let ready = ReadyBook::load(&args.ready)?;
    let parts = SheetTemplate::load(&args.sheet)?.fill(&ready)?;
    let publisher = SheetPublisher::new(args.platform.as_str());
    if let Some(path) = &args.topology {
        let hosts = TopologyFile::load(path)?.host_list(&ready)?;
        publisher.put_hosts(&hosts).await?;
    }
    publisher.publish(args.version, &parts).await?;
    println!("published version {}", args.version);
    Ok(())
}
