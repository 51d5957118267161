use {
    crate::{CallOutcome, TargetSpec, TargetStanding, entry_ranking::name_hash},
    std::time::{Duration, Instant},
};

/// Weight of the pool's median in a target's service time estimate, as a number of calls.
const PRIOR_CALLS: f64 = 3.0;
/// Number of calls after which the weight of an older call has dropped by about two thirds.
const DECAY_CALLS: f64 = 32.0;
/// Weight of the latest call in the moving average of the failure rate.
const FAILURE_WEIGHT: f64 = 0.15;
/// Extra slowness, as a multiple of the service time, assumed for a target that fails every call.
const FAILURE_SLOWDOWN: f64 = 20.0;
/// Half-life of a load report.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(2);
/// Time constant of the moving average over load reports, which keeps all entries from following
/// the same delayed report to the same target.
const REPORT_TIME_CONSTANT: Duration = Duration::from_secs(10);
/// Share of the other entries' reported calls that is counted; the measured service time already
/// includes the effect of the rest.
const REPORT_WEIGHT: f64 = 0.5;
/// Extra slowness of a fully used target, as a multiple of the service time; at other loads it is
/// proportional to the load. Calls in a batch slow each other down even if none of them waits.
const BATCH_SLOWDOWN: f64 = 0.5;
/// Share of its full load with which a target starts to return.
const MIN_RAMP_SHARE: f64 = 0.05;

/// Measurements and state of one target, as seen by this entry.
#[derive(Debug, Clone)]
pub(crate) struct TargetRecord {
    pub spec: TargetSpec,
    /// Hash of the target's name, for rendezvous hashing.
    pub hash: u64,
    /// False for a target that was removed but still runs calls.
    pub is_listed: bool,
    /// Time until which the target counts as leaving because it announced this itself.
    pub leaving_until: Option<Instant>,
    /// Calls of this entry that the target runs or queues.
    pub in_flight: u32,
    pub standing: TargetStanding,
    /// Standing that was last returned by `take_standing_changes`.
    pub reported_standing: TargetStanding,
    /// Ejections since this count was last reset; each doubles the duration of the next.
    pub ejections: u32,
    pub ejected_at: Option<Instant>,
    /// Moving average of the share of calls that failed, from 0 to 1.
    pub failure_rate: f64,
    /// Number of calls sent, decayed over time.
    pub recent_calls: f64,
    /// Sum of the times for which calls of this entry ran at the target, decayed over time.
    busy_seconds: f64,
    /// Number of calls that ended, decayed over time; a call that ended early counts in part.
    finished_calls: f64,
    /// Calls of other entries at the target, from its load reports.
    other_calls: f64,
    /// Time of the last load report.
    reported_at: Instant,
    /// Time up to which `busy_seconds` is counted.
    accrued_until: Instant,
}

impl TargetRecord {
    pub fn new(spec: TargetSpec, standing: TargetStanding, now: Instant) -> Self {
        Self {
            hash: name_hash(&spec.target),
            spec,
            is_listed: true,
            leaving_until: None,
            in_flight: 0,
            standing,
            reported_standing: standing,
            ejections: 0,
            ejected_at: None,
            failure_rate: 0.0,
            recent_calls: 0.0,
            busy_seconds: 0.0,
            finished_calls: 0.0,
            other_calls: 0.0,
            reported_at: now,
            accrued_until: now,
        }
    }

    pub fn capacity(&self) -> f64 {
        f64::from(self.spec.capacity.max(1))
    }

    /// True if no new work may go to the target, regardless of its performance.
    pub fn is_leaving(&self, now: Instant) -> bool {
        let is_marked = self.leaving_until.is_some_and(|until| until > now);
        !self.is_listed || self.spec.leaving || is_marked
    }

    pub fn is_ejected(&self) -> bool {
        matches!(self.standing, TargetStanding::Ejected(_))
    }

    /// True if the target is neither leaving nor ejected.
    pub fn is_usable(&self, now: Instant) -> bool {
        !self.is_leaving(now) && !self.is_ejected()
    }

    /// Returns the weight of the target in a random choice; 0 if a returning target already runs
    /// its share.
    pub fn draw_weight(&self, slow_start: Duration, now: Instant) -> f64 {
        let share = self.ramp_share(slow_start, now) * self.capacity();
        let is_in_slow_start = matches!(self.standing, TargetStanding::SlowStart(_));
        match is_in_slow_start && f64::from(self.in_flight) >= share.max(1.0) {
            true => 0.0,
            false => share,
        }
    }

    /// Starts the return of a target whose ejection is over, and ends a slow start that is over.
    pub fn update_standing(&mut self, slow_start: Duration, now: Instant) {
        match self.standing {
            TargetStanding::Ejected(until) if until <= now => {
                self.reset_measurements();
                self.standing = TargetStanding::SlowStart(now);
            }
            TargetStanding::SlowStart(_) if self.ramp_share(slow_start, now) >= 1.0 => {
                self.standing = TargetStanding::Usable;
            }
            _ => {}
        }
    }

    /// Returns the estimated number of calls that run or wait at the target, including those of
    /// other entries.
    pub fn load(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.reported_at);
        f64::from(self.in_flight) + self.other_calls * decay(age, REPORT_HALF_LIFE)
    }

    /// Returns the service time of a call at the target in seconds, without queueing.
    ///
    /// A running call counts as a fraction of a call: the time that it has run so far divided by
    /// the pool's median, at most 1. So it raises the estimate only when it is slower than the
    /// median.
    pub fn service_seconds(&self, pool_seconds: f64) -> f64 {
        let running = f64::from(self.in_flight).min(self.capacity());
        let unfinished =
            (self.busy_seconds / pool_seconds - self.finished_calls).clamp(0.0, running);
        let calls = self.finished_calls + unfinished;
        (self.busy_seconds + PRIOR_CALLS * pool_seconds) / (calls + PRIOR_CALLS)
    }

    /// Returns the time in seconds until a further call would be answered; failures count as
    /// slowness.
    pub fn answer_seconds(&self, service_seconds: f64, now: Instant) -> f64 {
        let utilisation = (self.load(now) + 1.0) / self.capacity();
        let slowness = 1.0 + FAILURE_SLOWDOWN * self.failure_rate;
        service_seconds * slowness * (utilisation.max(1.0) + BATCH_SLOWDOWN * utilisation)
    }

    /// Returns the share of its full load that the target may get, from 0 to 1.
    pub fn ramp_share(&self, slow_start: Duration, now: Instant) -> f64 {
        match self.standing {
            TargetStanding::Usable => 1.0,
            TargetStanding::Ejected(_) => 0.0,
            TargetStanding::SlowStart(since) => {
                let age = now.saturating_duration_since(since).as_secs_f64();
                (age / slow_start.as_secs_f64().max(0.001)).clamp(MIN_RAMP_SHARE, 1.0)
            }
        }
    }

    /// Resets the measurements to those of a new target.
    fn reset_measurements(&mut self) {
        self.busy_seconds = 0.0;
        self.finished_calls = 0.0;
        self.recent_calls = 0.0;
        self.failure_rate = 0.0;
    }

    /// Adds the time since the last event to the busy time, once for each running call, and decays
    /// the older measurements.
    pub fn accrue_busy_time(&mut self, half_life: Duration, now: Instant) {
        let elapsed = now.saturating_duration_since(self.accrued_until);
        if elapsed.is_zero() {
            return;
        }
        let load = self.load(now).max(1.0);
        let running = f64::from(self.in_flight) * (self.capacity() / load).min(1.0);
        let kept = decay(elapsed, half_life);
        self.busy_seconds = self.busy_seconds * kept + running * elapsed.as_secs_f64();
        self.finished_calls *= kept;
        self.recent_calls *= kept;
        self.failure_rate *= kept;
        self.accrued_until = now;
    }

    /// Excludes the time until `now` from the busy time.
    pub fn skip_until(&mut self, now: Instant) {
        self.accrued_until = self.accrued_until.max(now);
    }

    pub fn record_start(&mut self) {
        self.in_flight += 1;
        self.recent_calls += 1.0;
    }

    pub fn record_end(&mut self, outcome: CallOutcome, elapsed: Duration, pool_seconds: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let kept = 1.0 - 1.0 / DECAY_CALLS;
        self.busy_seconds *= kept;
        self.finished_calls *= kept;
        self.recent_calls *= kept;
        match outcome {
            CallOutcome::Answered => self.finished_calls += 1.0,
            CallOutcome::TimedOut => {}
            CallOutcome::Cancelled | CallOutcome::Failed | CallOutcome::Lost => {
                self.finished_calls += self.completed_share(elapsed, pool_seconds);
            }
            CallOutcome::Refused => {
                self.finished_calls += self.completed_share(elapsed, pool_seconds);
                self.other_calls = self.other_calls.max(self.capacity());
            }
        }
        self.update_failure_rate(outcome);
    }

    /// Records the load that the target reported, as a share of its capacity.
    pub fn record_load(&mut self, load: f64, now: Instant) {
        let reported_calls = load.max(0.0) * self.capacity();
        let other_calls = (reported_calls - f64::from(self.in_flight)).max(0.0);
        let age = now
            .saturating_duration_since(self.reported_at)
            .as_secs_f64();
        let weight = 1.0 - (-age / REPORT_TIME_CONSTANT.as_secs_f64()).exp();
        self.other_calls += weight * (REPORT_WEIGHT * other_calls - self.other_calls);
        self.reported_at = now;
    }

    /// Returns the number of complete calls, from 0 to 1, that a call which ended early counts for.
    /// It is chosen so that such a call makes the target look neither faster nor slower.
    fn completed_share(&self, elapsed: Duration, pool_seconds: f64) -> f64 {
        (elapsed.as_secs_f64() / self.service_seconds(pool_seconds)).min(1.0)
    }

    fn update_failure_rate(&mut self, outcome: CallOutcome) {
        let failure = match outcome {
            CallOutcome::Answered => 0.0,
            CallOutcome::Failed | CallOutcome::Lost | CallOutcome::TimedOut => 1.0,
            CallOutcome::Refused | CallOutcome::Cancelled => return,
        };
        self.failure_rate += FAILURE_WEIGHT * (failure - self.failure_rate);
    }
}

/// Returns the factor by which a value of this age has decayed.
fn decay(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64().max(0.001)).exp2()
}
