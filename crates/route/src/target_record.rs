use {
    crate::{CallOutcome, TargetSpec, TargetStanding, entry_ranking::name_hash},
    std::time::{Duration, Instant},
};

/// Calls whose weight the pool's own figure has in a target's estimate.
const PRIOR_CALLS: f64 = 3.0;
/// Calls after which an older call has lost about two thirds of its weight.
const MEMORY_CALLS: f64 = 32.0;
/// Weight of the latest call in the failure rate.
const FAILURE_WEIGHT: f64 = 0.15;
/// How many times slower a target counts that fails every call.
const FAILURE_COST: f64 = 20.0;
/// Time after which a load report says half as much as when it came.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(2);
/// Time over which load reports are averaged, so that entries do not all follow the same late
/// report to the same target.
const REPORT_SMOOTHING: Duration = Duration::from_secs(10);
/// Part of the reported calls of others that counts; the measured service time holds the rest.
const REPORT_TRUST: f64 = 0.5;
/// How much a busy target that still has free places slows down its calls.
const BATCH_SLOWDOWN: f64 = 0.5;
/// Least part of its full share that a returning target gets.
const LEAST_RAMP: f64 = 0.05;

/// What one entry has measured of a target.
#[derive(Debug, Clone)]
pub(crate) struct TargetRecord {
    pub spec: TargetSpec,
    pub hash: u64,
    pub listed: bool,
    pub leaving_until: Option<Instant>,
    pub in_flight: u32,
    pub standing: TargetStanding,
    pub told_standing: TargetStanding,
    pub ejections: u32,
    pub ejected_at: Option<Instant>,
    pub failure_rate: f64,
    pub calls: f64,
    busy: f64,
    finished: f64,
    others: f64,
    reported: Instant,
    advanced: Instant,
}

impl TargetRecord {
    pub fn new(spec: TargetSpec, standing: TargetStanding, now: Instant) -> Self {
        Self {
            hash: name_hash(&spec.target),
            spec,
            listed: true,
            leaving_until: None,
            in_flight: 0,
            standing,
            told_standing: standing,
            ejections: 0,
            ejected_at: None,
            failure_rate: 0.0,
            calls: 0.0,
            busy: 0.0,
            finished: 0.0,
            others: 0.0,
            reported: now,
            advanced: now,
        }
    }

    pub fn capacity(&self) -> f64 {
        f64::from(self.spec.capacity.max(1))
    }

    /// True if no new work may go to the target, however it performs.
    pub fn is_leaving(&self, now: Instant) -> bool {
        let marked = self.leaving_until.is_some_and(|until| until > now);
        !self.listed || self.spec.leaving || marked
    }

    pub fn is_ejected(&self) -> bool {
        matches!(self.standing, TargetStanding::Ejected(_))
    }

    /// True if calls may go to the target as a matter of course.
    pub fn is_usable(&self, now: Instant) -> bool {
        !self.is_leaving(now) && !self.is_ejected()
    }

    /// Weight of the target in a random choice; 0 if it has what it may have.
    pub fn open_weight(&self, slow_start: Duration, now: Instant) -> f64 {
        let share = self.ramp(slow_start, now) * self.capacity();
        let is_growing = matches!(self.standing, TargetStanding::Returning(_));
        match is_growing && f64::from(self.in_flight) >= share.max(1.0) {
            true => 0.0,
            false => share,
        }
    }

    /// Lets the target return if its time out is over, and ends a slow start that is over.
    pub fn come_back(&mut self, slow_start: Duration, now: Instant) {
        match self.standing {
            TargetStanding::Ejected(until) if until <= now => {
                self.forget();
                self.standing = TargetStanding::Returning(now);
            }
            TargetStanding::Returning(_) if self.ramp(slow_start, now) >= 1.0 => {
                self.standing = TargetStanding::Usable;
            }
            _ => {}
        }
    }

    /// Calls that run or wait at the target, those of other entries included.
    pub fn load(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.reported);
        f64::from(self.in_flight) + self.others * decay(age, REPORT_HALF_LIFE)
    }

    /// Seconds that a call takes at the target once it has a place.
    ///
    /// A call that still runs counts as the part of an ordinary call that it has run, and as a
    /// whole one from there on: so it shows that the target is slow, but only once it is.
    pub fn service(&self, pool_service: f64) -> f64 {
        let placed = f64::from(self.in_flight).min(self.capacity());
        let unfinished = (self.busy / pool_service - self.finished).clamp(0.0, placed);
        let calls = self.finished + unfinished;
        (self.busy + PRIOR_CALLS * pool_service) / (calls + PRIOR_CALLS)
    }

    /// Seconds until a further call would be answered, failures counted as slow.
    pub fn wait(&self, service: f64, now: Instant) -> f64 {
        let fill = (self.load(now) + 1.0) / self.capacity();
        let slowness = 1.0 + FAILURE_COST * self.failure_rate;
        service * slowness * (fill.max(1.0) + BATCH_SLOWDOWN * fill)
    }

    /// Part of its full share that the target may get.
    pub fn ramp(&self, slow_start: Duration, now: Instant) -> f64 {
        match self.standing {
            TargetStanding::Usable => 1.0,
            TargetStanding::Ejected(_) => 0.0,
            TargetStanding::Returning(since) => {
                let age = now.saturating_duration_since(since).as_secs_f64();
                (age / slow_start.as_secs_f64().max(0.001)).clamp(LEAST_RAMP, 1.0)
            }
        }
    }

    /// Forgets what was measured, as if the target were new.
    fn forget(&mut self) {
        self.busy = 0.0;
        self.finished = 0.0;
        self.calls = 0.0;
        self.failure_rate = 0.0;
    }

    /// Counts the time since the last event as busy for the calls that had a place in it.
    pub fn advance(&mut self, half_life: Duration, now: Instant) {
        let elapsed = now.saturating_duration_since(self.advanced);
        if elapsed.is_zero() {
            return;
        }
        let load = self.load(now).max(1.0);
        let placed = f64::from(self.in_flight) * (self.capacity() / load).min(1.0);
        let kept = decay(elapsed, half_life);
        self.busy = self.busy * kept + placed * elapsed.as_secs_f64();
        self.finished *= kept;
        self.calls *= kept;
        self.failure_rate *= kept;
        self.advanced = now;
    }

    /// Leaves out the time until now.
    pub fn skip_to(&mut self, now: Instant) {
        self.advanced = self.advanced.max(now);
    }

    pub fn start(&mut self) {
        self.in_flight += 1;
        self.calls += 1.0;
    }

    pub fn finish(&mut self, outcome: CallOutcome, elapsed: Duration, pool_service: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let kept = 1.0 - 1.0 / MEMORY_CALLS;
        self.busy *= kept;
        self.finished *= kept;
        self.calls *= kept;
        match outcome {
            CallOutcome::Answered => self.finished += 1.0,
            CallOutcome::TimedOut => {}
            CallOutcome::Cancelled | CallOutcome::Failed | CallOutcome::Lost => {
                self.finished += self.part_done(elapsed, pool_service);
            }
            CallOutcome::Refused => {
                self.finished += self.part_done(elapsed, pool_service);
                self.others = self.others.max(self.capacity());
            }
        }
        self.count_failure(outcome);
    }

    pub fn report(&mut self, load: f64, now: Instant) {
        let running = load.max(0.0) * self.capacity();
        let others = (running - f64::from(self.in_flight)).max(0.0);
        let age = now.saturating_duration_since(self.reported).as_secs_f64();
        let new = 1.0 - (-age / REPORT_SMOOTHING.as_secs_f64()).exp();
        self.others += new * (REPORT_TRUST * others - self.others);
        self.reported = now;
    }

    /// Part of a whole call that a call did that ended early, so that it makes the target look
    /// neither faster nor slower.
    fn part_done(&self, elapsed: Duration, pool_service: f64) -> f64 {
        (elapsed.as_secs_f64() / self.service(pool_service)).min(1.0)
    }

    fn count_failure(&mut self, outcome: CallOutcome) {
        let failed = match outcome {
            CallOutcome::Answered => 0.0,
            CallOutcome::Failed | CallOutcome::Lost | CallOutcome::TimedOut => 1.0,
            CallOutcome::Refused | CallOutcome::Cancelled => return,
        };
        self.failure_rate += FAILURE_WEIGHT * (failed - self.failure_rate);
    }
}

fn decay(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64().max(0.001)).exp2()
}
