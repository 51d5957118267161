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

/// Fails with a settings error if a command names no entry.
fn require_entry(entries: &[String]) -> anyhow::Result<()> {
    let message = "no entry given; add --entry ip:port";
    ensure!(
        !entries.is_empty(),
        StartError::Settings(String::from(message))
    );
    Ok(())
}

/// Returns true if a byte needs no percent-encoding in a URL: it is unreserved by RFC 3986.
fn is_unreserved(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~')
}
