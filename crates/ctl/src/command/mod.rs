mod check;
mod drain;
mod index;
mod status;
mod timeline;

pub use {
    check::{CheckArgs, check},
    drain::{DrainArgs, drain},
    index::{IndexArgs, index},
    status::{StatusArgs, status},
    timeline::{TimelineArgs, timeline},
};

use {anyhow::ensure, setup::StartError};

/// Refuses a command that names no entry.
fn require_entry(entries: &[String]) -> anyhow::Result<()> {
    let message = "no entry is named; give --entry ip:port";
    ensure!(
        !entries.is_empty(),
        StartError::Settings(String::from(message))
    );
    Ok(())
}

/// True if a byte may stand in a URL as it is.
fn is_unreserved(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~')
}
