use {
    crate::{NoticeStanding, prefix_cache::PrefixCache},
    plan::SoftwareVersion,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Read rate assumed before the first measurement, in prompt tokens per millisecond.
const INITIAL_READ_RATE: f64 = 30.0;
/// Bounds of the measured read rate, in prompt tokens per millisecond.
const READ_RATE_RANGE: (f64, f64) = (2.0, 400.0);
/// Minimum number of prompt tokens that must be read for the time to be a usable sample of the read
/// rate.
const MIN_SAMPLE_TOKENS: u32 = 800;
/// Time to the first event of an answer in addition to the time to read the prompt.
const FIRST_EVENT_OVERHEAD: Duration = Duration::from_millis(12);
/// Call time assumed before any target of a service without an engine was measured.
pub(crate) const INITIAL_CALL_TIME: Duration = Duration::from_millis(50);
/// Weight of the newest sample in the moving averages of the read rate and the call time.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Weight of the newest call in the moving average of the failure rate.
const FAILURE_WEIGHT: f64 = 0.15;
/// Backoff after the first loss; it doubles with each consecutive loss.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);
/// Maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Work in progress at a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetWork {
    /// Number of requests that the target runs.
    pub running: u32,
    /// Number of prompt tokens of these requests that the target has not read yet.
    pub unread_tokens: u32,
}

/// State of one target of a service, as this entry sees it.
#[derive(Debug)]
pub struct ServiceTarget {
    pub address: SocketAddr,
    pub data_centre: String,
    /// Version of the target's software; `None` if unknown.
    pub version: Option<SoftwareVersion>,
    /// Latest time at which a connection to the target was opened on which the listed process then
    /// answered; `None` if there was none.
    pub confirmed_at: Option<Instant>,
    /// Number of requests that the target runs concurrently, at least 1.
    pub slots: u32,
    /// True if the target gets no new work, by the list of targets or by its own notice.
    pub leaving: bool,
    /// Time until which the target wants no calls.
    paused_until: Option<Instant>,
    /// Time until which other entries use all calls that the target takes.
    pub held_until: Option<Instant>,
    /// Start time of the target's process in milliseconds since the Unix epoch; 0 if unknown.
    pub started_ms: u64,
    /// Work that the target does for this entry.
    pub own_work: TargetWork,
    /// Work that the target does for other entries.
    pub peer_work: TargetWork,
    pub cache: PrefixCache,
    /// Moving average of the share of calls that failed, from 0 to 1.
    pub failure_rate: f64,
    /// Moving average, in prompt tokens per millisecond.
    read_rate: f64,
    /// Moving average of the call time, for a service without an engine; `None` before the first
    /// measurement.
    pub(crate) call_time: Option<Duration>,
    consecutive_losses: u32,
    backoff_until: Option<Instant>,
}

impl ServiceTarget {
    pub fn new(row: &plan::TargetRow) -> Self {
        Self {
            address: row.address,
            data_centre: row.data_centre.clone(),
            version: row.version.clone(),
            confirmed_at: None,
            slots: row.slots.max(1),
            leaving: row.leaving,
            paused_until: None,
            held_until: None,
            started_ms: row.started_ms,
            own_work: TargetWork::default(),
            peer_work: TargetWork::default(),
            cache: PrefixCache::default(),
            failure_rate: 0.0,
            read_rate: INITIAL_READ_RATE,
            call_time: None,
            consecutive_losses: 0,
            backoff_until: None,
        }
    }

    /// Updates the target from the platform's list. A target with another start time or address
    /// is a new process: its cache, failures and backoff are cleared.
    pub fn update(&mut self, row: &plan::TargetRow) {
        if row.started_ms != self.started_ms || row.address != self.address {
            self.cache.clear();
            self.forget_losses();
            self.confirmed_at = None;
            self.paused_until = None;
            self.held_until = None;
        }
        self.address = row.address;
        self.data_centre.clone_from(&row.data_centre);
        self.version.clone_from(&row.version);
        self.slots = row.slots.max(1);
        self.leaving = row.leaving;
        self.started_ms = row.started_ms;
    }

    /// Forgets failures and losses, which were not the target's.
    pub fn forget_losses(&mut self) {
        self.failure_rate = 0.0;
        self.consecutive_losses = 0;
        self.backoff_until = None;
    }

    /// Applies what the target said of itself.
    pub fn apply_notice(&mut self, standing: NoticeStanding) {
        self.leaving |= standing.leaving;
        self.paused_until = standing.paused_until;
    }

    /// True if the target may be called: it is not leaving, and takes calls of this entry now.
    pub fn accepts_calls(&self, now: Instant) -> bool {
        !self.leaving && self.pause_left(now).is_zero()
    }

    /// True if both targets are known to run the same version of their software.
    pub fn shares_version(&self, other: &Self) -> bool {
        self.version.is_some() && self.version == other.version
    }

    /// Returns the time for which the target takes no calls of this entry.
    pub fn pause_left(&self, now: Instant) -> Duration {
        let until = self.paused_until.max(self.held_until).unwrap_or(now);
        until.saturating_duration_since(now)
    }

    /// Returns the time for which the target is held, if nothing else keeps calls from it.
    pub fn hold_left(&self, now: Instant) -> Option<Duration> {
        let wants_calls = !self.leaving && self.paused_until.is_none_or(|until| until <= now);
        let held_until = self.held_until.filter(|_| wants_calls)?;
        Some(held_until.saturating_duration_since(now))
    }

    /// True while the target is in backoff after a loss or a refusal.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| until > now)
    }

    /// Returns the time in which the target reads this number of tokens.
    pub fn reading_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.read_rate / 1_000.0)
    }

    /// Returns the time until the target would have read a prompt with this number of uncached
    /// tokens, including the tokens queued ahead.
    pub fn prompt_read_time(&self, unread_tokens: u32) -> Duration {
        self.reading_time(self.queued_tokens().saturating_add(unread_tokens))
    }

    /// Returns the number of prompt tokens that the target has not read yet.
    pub fn queued_tokens(&self) -> u32 {
        let own_tokens = self.own_work.unread_tokens;
        own_tokens.saturating_add(self.peer_work.unread_tokens)
    }

    /// Returns the time until a call to a service without an engine would be answered; a call takes the typical
    /// time as long as the target was not measured.
    pub fn call_completion_time(&self, typical_time: Duration) -> Duration {
        let running = self.own_work.running + self.peer_work.running;
        let call_time = self.call_time.unwrap_or(typical_time);
        call_time + call_time * running / self.slots
    }

    /// Records the time to the first event of an answer. `queued_tokens` is the number of tokens
    /// read in that time, including those of the request itself.
    pub fn observe_reading(&mut self, queued_tokens: u32, elapsed: Duration) {
        if queued_tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let reading_time = elapsed.saturating_sub(FIRST_EVENT_OVERHEAD);
        let reading_ms = reading_time.max(Duration::from_millis(1)).as_secs_f64() * 1_000.0;
        let rate =
            (f64::from(queued_tokens) / reading_ms).clamp(READ_RATE_RANGE.0, READ_RATE_RANGE.1);
        self.read_rate += SAMPLE_WEIGHT * (rate - self.read_rate);
    }

    /// Records the time that a call to a service without an engine took, where one typically takes the other
    /// time.
    pub fn observe_call(&mut self, elapsed: Duration, typical_time: Duration) {
        let known_time = self.call_time.unwrap_or(typical_time);
        let call_time = known_time.mul_f64(1.0 - SAMPLE_WEIGHT) + elapsed.mul_f64(SAMPLE_WEIGHT);
        self.call_time = Some(call_time);
    }

    /// Records a successful answer.
    pub fn observe_success(&mut self) {
        self.failure_rate -= FAILURE_WEIGHT * self.failure_rate;
        self.consecutive_losses = 0;
    }

    /// Records an error answer.
    pub fn observe_failure(&mut self) {
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
    }

    /// Records that the target could not be reached or was lost during a call.
    pub fn observe_loss(&mut self, now: Instant) {
        self.observe_failure();
        let backoff = INITIAL_BACKOFF * (1 << self.consecutive_losses.min(4));
        self.consecutive_losses += 1;
        self.backoff_until = Some(now + backoff.min(MAX_BACKOFF));
    }

    /// Records a refusal: the target is full and gets a short backoff.
    pub fn observe_refusal(&mut self, now: Instant) {
        let backoff = now + INITIAL_BACKOFF / 4;
        self.backoff_until = Some(
            self.backoff_until
                .map_or(backoff, |until| until.max(backoff)),
        );
    }
}
