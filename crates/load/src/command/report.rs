use {
    anyhow::Context,
    load::{LoadReport, RunComparison},
    setup::StartError,
    std::{fs, path::PathBuf},
};

/// Compare runs in a table and plots.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "report")]
pub struct ReportArgs {
    /// report of a run in JSON; may be repeated
    #[argh(option)]
    json: Vec<String>,
    /// directory to write the table and plots to
    #[argh(option)]
    out: PathBuf,
}

/// Prints the table of several runs and writes it and the plots to files.
pub fn report(args: &ReportArgs) -> anyhow::Result<()> {
    let mut comparison = RunComparison::new();
    for path in &args.json {
        let text = fs::read_to_string(path).with_context(|| path.clone())?;
        let report: LoadReport = serde_json::from_str(&text)
            .map_err(|error| StartError::Settings(format!("{path}: {error}")))?;
        comparison.add(report);
    }
    fs::create_dir_all(&args.out)?;
    let table = comparison.to_text();
    print!("{table}");
    fs::write(args.out.join("table.txt"), table)?;
    comparison.plot_attainment(&args.out.join("attainment.svg"))?;
    comparison.plot_latency(&args.out.join("latency.svg"))?;
    Ok(())
}
