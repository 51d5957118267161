use std::time::Duration;

/// Largest share of the spare time that is kept in reserve, however long the service time is.
const MAX_RESERVE_SHARE: f64 = 0.5;

/// Returns the longest time that a request may wait before its service starts.
///
/// The spare time is `remaining` less the expected `service_time`. A reserve of `safety_factor - 1`
/// times the service time, but at most half of the spare time, is kept for a service that takes
/// longer than expected; the rest is the wait. `None` if `service_time` is longer than `remaining`.
pub(crate) fn max_wait(
    remaining: Duration,
    service_time: Duration,
    safety_factor: f64,
) -> Option<Duration> {
    let spare = remaining.checked_sub(service_time)?;
    let reserve = service_time.mul_f64((safety_factor - 1.0).max(0.0));
    Some(spare - reserve.min(spare.mul_f64(MAX_RESERVE_SHARE)))
}
