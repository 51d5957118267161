//! Parses durations that settings give as plain numbers, which may be fractions.

use {
    serde::{Deserialize, Deserializer, de::Error},
    std::time::Duration,
};

/// Longest time that settings can give.
const MAX_TIME: Duration = Duration::from_secs(86_400);

/// Parses a number of seconds.
pub fn seconds<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    bounded_time(f64::deserialize(deserializer)?)
}

/// Parses a number of milliseconds.
pub fn millis<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    bounded_time(f64::deserialize(deserializer)? / 1_000.0)
}

fn bounded_time<E: Error>(seconds: f64) -> Result<Duration, E> {
    let time = Duration::try_from_secs_f64(seconds).map_err(E::custom)?;
    match time <= MAX_TIME {
        true => Ok(time),
        false => Err(E::custom(format!("{seconds} s is more than {MAX_TIME:?}"))),
    }
}
