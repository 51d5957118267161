use std::time::{Duration, Instant};

/// Time before the target moment at which sleeping gives way to polling the clock, since the
/// timer is too coarse for the remainder.
const SPIN_TIME: Duration = Duration::from_millis(2);

/// Sleeps until a moment, as precisely as the timer allows; returns at once if it has passed.
pub async fn sleep_until(at: Instant) {
    let left = at.saturating_duration_since(Instant::now());
    if !left.is_zero() {
        actix_rt::time::sleep(left).await;
    }
}

/// Waits until a moment more precisely than the timer allows: polls the clock over the last
/// `SPIN_TIME`, which costs CPU time.
pub async fn spin_until(at: Instant) {
    if let Some(early) = at.checked_sub(SPIN_TIME) {
        sleep_until(early).await;
    }
    while Instant::now() < at {
        tokio::task::yield_now().await;
    }
}
