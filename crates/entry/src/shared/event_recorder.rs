use {
    base::HostId,
    stamp::{EventFilter, EventKind, EventRing, HybridTime, SkewClock, TimelineEvent},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// Capacity of the event ring of one daemon.
const RING_EVENTS: usize = 16_384;

/// Hybrid clock and event ring of the time line, shared by the data path and the controllers. The
/// lock is held only while an event is added or events are copied.
#[derive(Clone)]
pub struct EventRecorder {
    host: HostId,
    state: Arc<Mutex<RecorderState>>,
}

struct RecorderState {
    clock: SkewClock,
    ring: EventRing,
}

impl EventRecorder {
    pub fn new(host: impl Into<HostId>) -> Self {
        let state = RecorderState {
            clock: SkewClock::new(),
            ring: EventRing::new(RING_EVENTS),
        };
        Self {
            host: host.into(),
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Records an event of the present time; `add_detail` sets its further fields.
    pub fn record(&self, kind: EventKind, add_detail: impl FnOnce(TimelineEvent) -> TimelineEvent) {
        let mut state = self.lock();
        let at = state.clock.now(wall_us());
        let event = TimelineEvent::new(at, &self.host, kind);
        state.ring.push(add_detail(event));
    }

    /// Returns the time to send with a message.
    pub fn stamp(&self) -> HybridTime {
        self.lock().clock.now(wall_us())
    }

    /// Advances the clock past the time of a received message. A time that is too far ahead is
    /// ignored.
    pub fn observe(&self, peer: HybridTime) {
        let _ = self.lock().clock.observe(peer, wall_us());
    }

    /// Returns the events that match the filter, oldest first.
    pub fn select(&self, filter: &EventFilter) -> Vec<TimelineEvent> {
        self.lock().ring.select(filter)
    }

    fn lock(&self) -> MutexGuard<'_, RecorderState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the wall time in microseconds since the Unix epoch, 0 before it.
pub fn wall_us() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}
