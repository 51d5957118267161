//! Open-loop load generator and experiment tool.

mod command;
mod drive;

use {
    command::{
        AddressArgs, BenchArgs, ControlArgs, PublishArgs, ReportArgs, RunArgs, TopologyArgs,
    },
    std::process::ExitCode,
};

/// Sends open-loop load to camphorramp entries and reports how the requests ended.
#[derive(argh::FromArgs)]
struct LoadArgs {
    #[argh(subcommand)]
    command: LoadCommand,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum LoadCommand {
    Run(RunArgs),
    Report(ReportArgs),
    Bench(BenchArgs),
    Publish(PublishArgs),
    Topology(TopologyArgs),
    Control(ControlArgs),
    Address(AddressArgs),
}

fn main() -> ExitCode {
    let args: LoadArgs = argh::from_env();
    let outcome = actix_rt::System::new().block_on(async {
        match args.command {
            LoadCommand::Run(args) => command::run(args).await,
            LoadCommand::Report(args) => command::report(&args),
            LoadCommand::Bench(args) => command::bench(args).await,
            LoadCommand::Publish(args) => command::publish(args).await,
            LoadCommand::Topology(args) => command::topology(&args),
            LoadCommand::Control(args) => command::control(args).await,
            LoadCommand::Address(args) => command::address(args).await,
        }
    });
    setup::exit_code(outcome)
}
