//! Small stand-ins for the systems around camphorramp, used by tests and the demo only.

mod serve;

use {
    serve::{EngineArgs, PlainArgs, PlatformArgs, ProxyArgs},
    std::{future::Future, process::ExitCode},
    tokio::signal::unix::{SignalKind, signal},
};

/// Run a stand-in for one of the systems around camphorramp.
#[derive(argh::FromArgs)]
struct StandArgs {
    #[argh(subcommand)]
    command: StandCommand,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum StandCommand {
    Platform(PlatformArgs),
    Plain(PlainArgs),
    Engine(EngineArgs),
    Proxy(ProxyArgs),
}

fn main() -> ExitCode {
    let args: StandArgs = argh::from_env();
    let outcome = actix_rt::System::new().block_on(async {
        match args.command {
            StandCommand::Platform(args) => until_terminated(serve::run_platform(args)).await,
            StandCommand::Plain(args) => until_terminated(serve::run_plain(args)).await,
            StandCommand::Engine(args) => until_terminated(serve::run_engine(args)).await,
            StandCommand::Proxy(args) => until_terminated(serve::run_proxy(args)).await,
        }
    });
    setup::exit_code(outcome)
}

/// Runs a stand-in until it fails or the process gets SIGTERM.
async fn until_terminated(
    stand: impl Future<Output = anyhow::Result<()>>,
) -> Result<(), anyhow::Error> {
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        outcome = stand => outcome,
        _ = terminate.recv() => Ok(()),
    }
}
