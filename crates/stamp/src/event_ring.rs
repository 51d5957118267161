use {
    crate::{EventFilter, TimelineEvent},
    std::collections::VecDeque,
};

/// Ring buffer with the latest events of one process; it counts the events that it dropped.
///
/// ```
/// use stamp::{EventFilter, EventKind, EventRing, HybridTime, TimelineEvent};
///
/// let mut ring = EventRing::new(2);
/// for physical_us in 1..=3 {
///     let at = HybridTime::new(physical_us, 0);
///     ring.push(TimelineEvent::new(at, "h1", EventKind::Drain));
/// }
/// assert_eq!(ring.dropped(), 1);
/// assert_eq!(ring.select(&EventFilter::default()).len(), 2);
/// ```
#[derive(Debug, Clone)]
pub struct EventRing {
    events: VecDeque<TimelineEvent>,
    capacity: usize,
    dropped: u64,
}

impl EventRing {
    /// Creates a ring for at most `capacity` events; 0 counts as 1.
    pub fn new(capacity: usize) -> Self {
        Self {
            events: VecDeque::new(),
            capacity: capacity.max(1),
            dropped: 0,
        }
    }

    /// Appends an event, and drops the oldest one if the ring is full.
    pub fn push(&mut self, event: TimelineEvent) {
        if self.events.len() == self.capacity {
            self.events.pop_front();
            self.dropped += 1;
        }
        self.events.push_back(event);
    }

    /// Returns the events that match the filter, oldest first.
    pub fn select(&self, filter: &EventFilter) -> Vec<TimelineEvent> {
        let matching = self.events.iter().filter(|event| filter.matches(event));
        matching.cloned().collect()
    }

    /// Returns the number of events in the ring.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Returns true if the ring holds no event.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Returns the number of events that were dropped to make room for later ones.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
