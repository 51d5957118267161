use std::time::Duration;

/// Share of the spare time that a request may always wait, however long its service is.
const MIN_WAIT_SHARE: f64 = 0.5;

/// Returns the longest time that a request may wait and still has a good chance to finish.
///
/// The spare time is `remaining` less the expected `service`. Of it, `margin - 1` times the service
/// is kept in reserve, but at most half. `None` if the service alone takes too long.
pub(crate) fn max_wait(remaining: Duration, service: Duration, margin: f64) -> Option<Duration> {
    let spare = remaining.checked_sub(service)?;
    let reserve = service.mul_f64((margin - 1.0).max(0.0));
    Some(spare - reserve.min(spare.mul_f64(MIN_WAIT_SHARE)))
}
