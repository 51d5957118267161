use std::time::Duration;

/// Part of the time to spare that a request may always wait, however long its service is.
const WAITING_PART: f64 = 0.5;

/// Longest time that a request may wait and still has a good chance to finish: `margin` times
/// its expected service is kept free, but at most half of what the service leaves. `None` if
/// the service alone takes too long.
pub(crate) fn wait_room(remaining: Duration, service: Duration, margin: f64) -> Option<Duration> {
    let spare = remaining.checked_sub(service)?;
    let reserve = service.mul_f64((margin - 1.0).max(0.0));
    Some(spare - reserve.min(spare.mul_f64(WAITING_PART)))
}
