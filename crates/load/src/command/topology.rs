use load::TopologyFile;

/// Print what a topology needs, one process a line, for a shell script.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "topology")]
pub struct TopologyArgs {
    /// topology file (TOML)
    #[argh(option)]
    file: String,
    /// which processes: `targets` (arguments of camphor-stand) or `entries` (host, data
    /// centre, size)
    #[argh(positional)]
    which: String,
}

/// Prints the processes of a topology.
pub fn topology(args: &TopologyArgs) -> anyhow::Result<()> {
    let topology = TopologyFile::load(&args.file)?;
    match args.which.as_str() {
        "targets" => {
            for target in &topology.target {
                println!("{}", target.arguments());
            }
        }
        "entries" => {
            for entry in &topology.entry {
                println!("{} {} {}", entry.host, entry.data_centre, entry.size);
            }
        }
        other => anyhow::bail!("`{other}` is neither targets nor entries"),
    }
    Ok(())
}
