/// A proxy that injects faults.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "proxy")]
pub struct ProxyArgs {
    /// seed of the random choices
    #[argh(option, default = "0")]
    seed: u64,
}

/// Runs a proxy.
pub async fn run_proxy(args: ProxyArgs) -> anyhow::Result<()> {
    anyhow::bail!(
        "the proxy comes with the second delivery (seed {})",
        args.seed
    )
}
