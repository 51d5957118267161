use {
    base::HostId,
    stamp::{EventFilter, EventKind, EventRing, HybridTime, SkewClock, TimelineEvent},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// Events that the ring of one daemon holds.
const RING_EVENTS: usize = 16_384;

/// Clock and ring of the time line, shared by both threads; each holds the lock only to add or
/// copy events.
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

    /// Records an event; `detail` adds what is known of it.
    pub fn record(&self, kind: EventKind, detail: impl FnOnce(TimelineEvent) -> TimelineEvent) {
        let mut state = self.lock();
        let at = state.clock.now(wall_us());
        let event = TimelineEvent::new(at, &self.host, kind);
        state.ring.push(detail(event));
    }

    /// Time for a message that leaves.
    pub fn stamp(&self) -> HybridTime {
        self.lock().clock.now(wall_us())
    }

    /// Takes in the time of a message that came; an absurd one is ignored.
    pub fn observe(&self, peer: HybridTime) {
        let _ = self.lock().clock.observe(peer, wall_us());
    }

    /// Events that match, oldest first.
    pub fn select(&self, filter: &EventFilter) -> Vec<TimelineEvent> {
        self.lock().ring.select(filter)
    }

    fn lock(&self) -> MutexGuard<'_, RecorderState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Wall time in microseconds since the Unix epoch.
pub fn wall_us() -> u64 {
    let age = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(age.as_micros()).unwrap_or(u64::MAX)
}
