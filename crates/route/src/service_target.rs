use {
    crate::part_cache::PartCache,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Prompt tokens that an engine reads in a millisecond, before it was measured.
const FIRST_READ_RATE: f64 = 30.0;
/// Bounds of the measured rate, in tokens per millisecond.
const READ_RATES: (f64, f64) = (2.0, 400.0);
/// Prompt tokens below which a time says too little of the rate.
const RATE_SAMPLE_TOKENS: u32 = 800;
/// Time of a first event beside the reading.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(12);
/// Time of a plain call before it was measured.
const FIRST_CALL_TIME: Duration = Duration::from_millis(50);
/// Weight of the newest sample.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Weight of the newest call in the failure rate.
const FAILURE_WEIGHT: f64 = 0.15;
/// Time out of use after a first loss; it doubles with each one in a row.
const FIRST_REST: Duration = Duration::from_millis(400);
/// Longest time out of use.
const LONGEST_REST: Duration = Duration::from_secs(5);

/// Work at a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetWork {
    /// Requests that run there.
    pub running: u32,
    /// Prompt tokens that are still to be read.
    pub unread: u32,
}

/// What this entry knows of one target that takes whole requests.
#[derive(Debug)]
pub struct ServiceTarget {
    pub address: SocketAddr,
    pub data_centre: String,
    pub slots: u32,
    pub leaving: bool,
    pub started_ms: u64,
    pub own: TargetWork,
    pub peers: TargetWork,
    pub cache: PartCache,
    /// Share of its calls that failed lately.
    pub failures: f64,
    read_rate: f64,
    call_time: Duration,
    losses: u32,
    rests_until: Option<Instant>,
}

impl ServiceTarget {
    pub fn new(row: &plan::TargetRow) -> Self {
        Self {
            address: row.address,
            data_centre: row.data_centre.clone(),
            slots: row.slots.max(1),
            leaving: row.leaving,
            started_ms: row.started_ms,
            own: TargetWork::default(),
            peers: TargetWork::default(),
            cache: PartCache::default(),
            failures: 0.0,
            read_rate: FIRST_READ_RATE,
            call_time: FIRST_CALL_TIME,
            losses: 0,
            rests_until: None,
        }
    }

    /// Takes over what the platform says of it now.
    pub fn renew(&mut self, row: &plan::TargetRow) {
        if row.started_ms != self.started_ms || row.address != self.address {
            self.cache.clear();
            self.failures = 0.0;
            self.losses = 0;
            self.rests_until = None;
        }
        self.address = row.address;
        self.data_centre.clone_from(&row.data_centre);
        self.slots = row.slots.max(1);
        self.leaving = row.leaving;
        self.started_ms = row.started_ms;
    }

    /// True while it is left alone after losses.
    pub fn rests(&self, now: Instant) -> bool {
        self.rests_until.is_some_and(|until| until > now)
    }

    /// Time in which it reads so many tokens.
    pub fn reading_alone(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.read_rate / 1_000.0)
    }

    /// Time until it would have read a prompt with so many tokens that it does not keep.
    pub fn read_time(&self, unread: u32) -> Duration {
        let ahead = self.own.unread + self.peers.unread;
        self.reading_alone(ahead + unread)
    }

    /// Time until a plain call would be done.
    pub fn plain_time(&self) -> Duration {
        let running = self.own.running + self.peers.running;
        self.call_time + self.call_time * running / self.slots
    }

    /// Records the time to the first event; `queued` tokens were read for it, its own among them.
    pub fn observe_reading(&mut self, queued: u32, spent: Duration) {
        if queued < RATE_SAMPLE_TOKENS {
            return;
        }
        let reading = spent.saturating_sub(FIRST_EVENT_TIME);
        let reading = reading.max(Duration::from_millis(1)).as_secs_f64() * 1_000.0;
        let found = (f64::from(queued) / reading).clamp(READ_RATES.0, READ_RATES.1);
        self.read_rate += SAMPLE_WEIGHT * (found - self.read_rate);
    }

    /// Records the time of a plain call.
    pub fn observe_call(&mut self, spent: Duration) {
        self.call_time = self.call_time.mul_f64(1.0 - SAMPLE_WEIGHT) + spent.mul_f64(SAMPLE_WEIGHT);
    }

    /// Records that it answered as it should.
    pub fn observe_success(&mut self) {
        self.failures -= FAILURE_WEIGHT * self.failures;
        self.losses = 0;
    }

    /// Records that it answered with a failure of its own.
    pub fn observe_failure(&mut self) {
        self.failures += FAILURE_WEIGHT * (1.0 - self.failures);
    }

    /// Records that it could not be reached or went away under a call.
    pub fn observe_loss(&mut self, now: Instant) {
        self.observe_failure();
        let rest = FIRST_REST * (1 << self.losses.min(4));
        self.losses += 1;
        self.rests_until = Some(now + rest.min(LONGEST_REST));
    }

    /// Leaves a target that is full alone for a moment.
    pub fn observe_refusal(&mut self, now: Instant) {
        let rest = now + FIRST_REST / 4;
        self.rests_until = Some(self.rests_until.map_or(rest, |until| until.max(rest)));
    }
}
