use std::{fs, time::Duration};

/// Clock ticks a second in the kernel's process statistics.
const TICKS_PER_SECOND: u64 = 100;
/// Fields of the statistics that stand between the program's name and its user time.
const FIELDS_BEFORE_USER: usize = 11;

/// Processor time that a process has used so far; `None` if there is no such process.
pub fn processor_time(process: u32) -> Option<Duration> {
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
