use load::TopologyFile;

/// Print the processes of a topology, one a line, for a shell script to start.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "topology")]
pub struct TopologyArgs {
    /// topology file (TOML)
    #[argh(option)]
    file: String,
    /// which processes to print: `targets` (each as arguments of camphor-stand) or `entries`
    /// (each as host, data centre and size)
    #[argh(positional)]
    which: String,
}

/// Prints the targets or the entries of a topology, one a line.
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
        other => anyhow::bail!("`{other}` is neither `targets` nor `entries`"),
    }
    Ok(())
}
