use {
    plan::BootTime,
    rustix::time::{ClockId, clock_gettime},
};

/// Returns the time since the machine booted, including the time for which it was suspended.
pub fn boot_time() -> BootTime {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    BootTime::new(seconds, nanos)
}
