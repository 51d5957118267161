use {
    crate::{EventFilter, TimelineEvent},
    std::collections::VecDeque,
};

/// The latest events of one process; it counts those that it had to drop.
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
    /// Ring that holds so many events, at least one.
    pub fn new(capacity: usize) -> Self {
        Self {
            events: VecDeque::new(),
            capacity: capacity.max(1),
            dropped: 0,
        }
    }

    /// Adds the latest event.
    pub fn push(&mut self, event: TimelineEvent) {
        if self.events.len() == self.capacity {
            self.events.pop_front();
            self.dropped += 1;
        }
        self.events.push_back(event);
    }

    /// Events that match, the oldest first.
    pub fn select(&self, filter: &EventFilter) -> Vec<TimelineEvent> {
        let matching = self.events.iter().filter(|event| filter.matches(event));
        matching.cloned().collect()
    }

    /// Number of events that it holds.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// True if it holds no event.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Number of events that made room for later ones.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
