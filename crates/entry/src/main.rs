//! Command line of the entry daemon.

use {argh::FromArgs, entry::EntrySettings, setup::exit_code, std::process::ExitCode};

/// Serve callers: run their requests through the stages of their pipelines.
#[derive(FromArgs)]
struct EntryArgs {
    /// settings file in TOML
    #[argh(option)]
    settings: String,
}

fn main() -> ExitCode {
    let args: EntryArgs = argh::from_env();
    exit_code(start(&args))
}

fn start(args: &EntryArgs) -> anyhow::Result<()> {
    let settings: EntrySettings = setup::load_settings(&args.settings)?;
    settings.check(&args.settings)?;
    actix_rt::System::new().block_on(entry::run_entry(settings))
}
