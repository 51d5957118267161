use std::{fmt, process::ExitCode};

/// Exit code after a failure outside the settings, for instance an address in use.
const EXIT_RUNTIME_ERROR: u8 = 1;
/// Exit code after an error in the settings.
const EXIT_SETTINGS_ERROR: u8 = 2;

/// Reason why a program did not start or did not stop cleanly.
#[derive(Debug)]
pub enum StartError {
    /// Error in the settings. The text names the file, the line, the key and what is expected.
    Settings(String),
    /// Failure outside the settings, for instance an address in use.
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

/// Returns the exit code of a program, and prints the reason of a failure in one line on standard
/// error.
pub fn exit_code(outcome: Result<(), anyhow::Error>) -> ExitCode {
    let Err(error) = outcome else {
        return ExitCode::SUCCESS;
    };
    let line = format!("{error:#}").replace('\n', " ");
    eprintln!("{line}");
    match error.downcast_ref::<StartError>() {
        Some(StartError::Settings(_)) => ExitCode::from(EXIT_SETTINGS_ERROR),
        _ => ExitCode::from(EXIT_RUNTIME_ERROR),
    }
}
