use std::time::{Duration, Instant};

/// Time before a moment from which on the clock is watched without sleeping; timers are coarser.
const SPIN_TIME: Duration = Duration::from_millis(2);

/// Sleeps until a moment, to the grain of the timer; a moment that has passed takes no time.
pub async fn sleep_until(at: Instant) {
    let left = at.saturating_duration_since(Instant::now());
    if !left.is_zero() {
        actix_rt::time::sleep(left).await;
    }
}

/// Waits until a moment and watches the clock at the end, at the cost of processor time.
pub async fn spin_until(at: Instant) {
    if let Some(early) = at.checked_sub(SPIN_TIME) {
        sleep_until(early).await;
    }
    while Instant::now() < at {
        tokio::task::yield_now().await;
    }
}
