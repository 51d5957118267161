//! The operators' command-line tool: checks sheets and settings before they are published, shows
//! the status and events of entries, and takes entries and targets out of service.

mod command;
mod entry_client;
mod sheet_folder;
mod status_table;

use {
    command::{CheckArgs, DrainArgs, IndexArgs, StatusArgs, TimelineArgs},
    std::process::ExitCode,
};

/// Check sheets and settings, show the status and events of entries, and take entries or targets
/// out of service.
#[derive(argh::FromArgs)]
struct ControlArgs {
    #[argh(subcommand)]
    command: ControlCommand,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum ControlCommand {
    Check(CheckArgs),
    Index(IndexArgs),
    Status(StatusArgs),
    Drain(DrainArgs),
    Timeline(TimelineArgs),
}

fn main() -> ExitCode {
    let args: ControlArgs = argh::from_env();
    let outcome = actix_rt::System::new().block_on(async {
        match args.command {
            ControlCommand::Check(args) => command::check(&args),
            ControlCommand::Index(args) => command::index(&args),
            ControlCommand::Status(args) => command::status(args).await,
            ControlCommand::Drain(args) => command::drain(args).await,
            ControlCommand::Timeline(args) => command::timeline(args).await,
        }
    });
    setup::exit_code(outcome)
}
