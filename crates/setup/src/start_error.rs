use std::{fmt, process::ExitCode};

/// Exit code when the machine stands in the way, for instance an address in use.
const EXIT_FAILED: u8 = 1;
/// Exit code when the settings are wrong.
const EXIT_SETTINGS: u8 = 2;

/// Why a program did not start.
#[derive(Debug)]
pub enum StartError {
    /// The settings are wrong; the text names file, line, key and what would be right.
    Settings(String),
    /// The machine stands in the way.
    Runtime(String),
}

impl fmt::Display for StartError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(text) | Self::Runtime(text) => formatter.write_str(text),
        }
    }
}

impl std::error::Error for StartError {}

/// Prints why a program failed in one line and gives its exit code.
pub fn exit_code(outcome: Result<(), anyhow::Error>) -> ExitCode {
    let Err(error) = outcome else {
        return ExitCode::SUCCESS;
    };
    let line = format!("{error:#}").replace('\n', " ");
    eprintln!("{line}");
    match error.downcast_ref::<StartError>() {
        Some(StartError::Settings(_)) => ExitCode::from(EXIT_SETTINGS),
        _ => ExitCode::from(EXIT_FAILED),
    }
}
