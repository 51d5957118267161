/// Measure.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "bench")]
pub struct BenchArgs {}

/// Measures.
pub async fn bench(_args: BenchArgs) -> anyhow::Result<()> {
    Ok(())
}
