use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Share of the room that callers who come back may use; the rest is for new ones.
const RETURN_SHARE: f64 = 1.0 / 3.0;

/// When refused callers may come back: one after the other, at the pace at which there is room.
///
/// It answers this load pattern: a burst of several times the capacity, after which all callers that
/// were refused within it come back. If each is told its own shortfall, they return in the same
/// moment and are refused again, or push out others. Here they are told times in the order in which
/// they were refused, spaced by what one request needs, so that new callers find room too. Each customer has a line of its own, and the
/// lines share the pace, so that one customer's flood does not put the others off.
///
/// ```
/// use {
///     limit::ReturnLine,
///     std::time::{Duration, Instant},
/// };
///
/// let now = Instant::now();
/// let mut line = ReturnLine::default();
/// let spacing = Duration::from_millis(100);
/// let first = line.take_slot("farm", Duration::ZERO, spacing, now);
/// let second = line.take_slot("farm", Duration::ZERO, spacing, now);
/// assert_eq!(first, Duration::ZERO);
/// assert!(second >= spacing);
/// ```
#[derive(Debug, Default)]
pub struct ReturnLine {
    /// Time of the next free slot of each customer with slots in the future.
    next_slots: HashMap<String, Instant>,
}

impl ReturnLine {
    /// Takes the customer's next slot and returns the time until it. `min_delay` is the time until
    /// there may be room at all; `spacing` the time in which there is room for one request.
    pub fn take_slot(
        &mut self,
        customer: &str,
        min_delay: Duration,
        spacing: Duration,
        now: Instant,
    ) -> Duration {
        self.next_slots.retain(|_, slot| *slot > now);
        let earliest = now + min_delay;
        let next_slot = self.next_slots.get(customer).copied();
        let slot = next_slot.map_or(earliest, |slot| slot.max(earliest));
        self.next_slots.insert(customer.to_string(), slot);
        let line_count = u32::try_from(self.next_slots.len()).unwrap_or(u32::MAX);
        let spacing = spacing.div_f64(RETURN_SHARE).saturating_mul(line_count);
        let following = slot + spacing;
        self.next_slots.insert(customer.to_string(), following);
        slot.saturating_duration_since(now)
    }
}
