//! Parses durations that settings give as plain numbers, which may be fractions.

use {
    serde::{Deserialize, Deserializer, de::Error},
    std::time::Duration,
};

/// Parses a number of seconds.
pub fn seconds<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let number = f64::deserialize(deserializer)?;
    Duration::try_from_secs_f64(number).map_err(D::Error::custom)
}

/// Parses a number of milliseconds.
pub fn millis<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let number = f64::deserialize(deserializer)?;
    Duration::try_from_secs_f64(number / 1_000.0).map_err(D::Error::custom)
}
