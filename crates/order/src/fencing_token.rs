use stamp::HybridTime;

/// Fencing token of an order. An engine that checks orders refuses one whose token is not larger
/// than the largest it has received.
pub type FencingToken = u64;

/// Low bits of a fencing token that hold the counter of a hybrid time.
const COUNTER_BITS: u32 = 12;

/// Packs a hybrid time into a fencing token: the physical part in the high bits, the counter in
/// the low ones. Parts that are too large are capped.
///
/// ```
/// use {order::packed_fence, stamp::HybridTime};
///
/// assert!(packed_fence(HybridTime::new(7, 1)) > packed_fence(HybridTime::new(7, 0)));
/// assert!(packed_fence(HybridTime::new(8, 0)) > packed_fence(HybridTime::new(7, 9_999)));
/// ```
pub fn packed_fence(time: HybridTime) -> FencingToken {
    let max_counter = (1 << COUNTER_BITS) - 1;
    let physical_us = time.physical_us.min(u64::MAX >> COUNTER_BITS);
    (physical_us << COUNTER_BITS) | u64::from(time.counter).min(max_counter)
}

/// Returns the fencing token for an order to an engine that reported the token `reported`; `None`
/// if that was the largest possible one.
///
/// The token is the reported one plus 1. An engine that has obeyed another order since the reading
/// therefore refuses this one, even if the clocks of the two senders differ. An engine that reports
/// 0 has just started; its token is taken from the time, so that it is larger than those of earlier
/// orders that are still in flight.
///
/// ```
/// use {order::next_fence, stamp::HybridTime};
///
/// let now = HybridTime::new(1_700_000_000_000_000, 0);
/// assert_eq!(next_fence(41, now), Some(42));
/// assert!(next_fence(0, now) > next_fence(41, now));
/// assert_eq!(next_fence(u64::MAX, now), None);
/// ```
pub fn next_fence(reported: FencingToken, now: HybridTime) -> Option<FencingToken> {
    match reported {
        0 => Some(packed_fence(now).max(1)),
        _ => reported.checked_add(1),
    }
}
