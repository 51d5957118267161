use stamp::HybridTime;

/// Number of an order; an engine that checks orders refuses one that is not above its last.
pub type FenceNumber = u64;

/// Bits that hold the counter of a hybrid time.
const COUNTER_BITS: u32 = 12;

/// A hybrid time as a fencing number: the physical part above, the counter below.
///
/// ```
/// use {order::packed_fence, stamp::HybridTime};
///
/// assert!(packed_fence(HybridTime::new(7, 1)) > packed_fence(HybridTime::new(7, 0)));
/// assert!(packed_fence(HybridTime::new(8, 0)) > packed_fence(HybridTime::new(7, 9_999)));
/// ```
pub fn packed_fence(time: HybridTime) -> FenceNumber {
    let limit = (1 << COUNTER_BITS) - 1;
    let physical = time.physical_us.min(u64::MAX >> COUNTER_BITS);
    (physical << COUNTER_BITS) | u64::from(time.counter).min(limit)
}

/// Number for an order to an engine that reported `reported`; `None` if no number is left.
///
/// It is the next number after the reported one, so that an engine that has obeyed any other
/// order since the reading refuses this one, whatever the clocks of the two senders say. An
/// engine that reports none has just started; there the time makes the number larger than those
/// of orders that were sent before and are still on their way.
///
/// ```
/// use {order::next_fence, stamp::HybridTime};
///
/// let now = HybridTime::new(1_700_000_000_000_000, 0);
/// assert_eq!(next_fence(41, now), Some(42));
/// assert!(next_fence(0, now) > next_fence(41, now));
/// assert_eq!(next_fence(u64::MAX, now), None);
/// ```
pub fn next_fence(reported: FenceNumber, now: HybridTime) -> Option<FenceNumber> {
    match reported {
        0 => Some(packed_fence(now).max(1)),
        _ => reported.checked_add(1),
    }
}
