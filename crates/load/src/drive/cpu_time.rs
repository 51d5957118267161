use std::{fs, time::Duration};

/// Clock ticks per second in `/proc/{process}/stat` (`USER_HZ`).
const TICKS_PER_SECOND: u64 = 100;
/// Number of fields between the program's name and its user time; the system time follows it.
const FIELDS_BEFORE_USER: usize = 11;

/// Returns the CPU time, user and system, that a process has used; `None` if there is no such
/// process.
pub fn cpu_time(process: u32) -> Option<Duration> {
    let text = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    let (_, fields) = text.rsplit_once(')')?;
    let ticks = fields
        .split_whitespace()
        .skip(FIELDS_BEFORE_USER)
        .take(2)
        .map(|field| field.parse::<u64>().ok());
    let ticks: u64 = ticks.sum::<Option<u64>>()?;
    Some(Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND))
}
