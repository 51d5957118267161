use {
    crate::{
        CallOutcome, PoolSettings, StandingChange, TargetSpec, TargetStanding, TargetStatus,
        outlier_rule::{OutlierRule, PoolBaseline, median},
        target_choice::TargetChoice,
        target_record::TargetRecord,
    },
    base::{CentreId, TargetId},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Minimum time between two updates of the pool's medians.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which a target counts as leaving after it announced this in an answer.
const LEAVING_MARK_LIFETIME: Duration = Duration::from_secs(60);

/// Properties of a call that determine its target.
#[derive(Debug, Clone, Copy, Default)]
pub struct PickQuery<'a> {
    /// Hash of the prompt's prefix, if an engine may have it cached.
    pub prefix_hash: Option<u64>,
    /// Targets that are excluded because the request has already tried them.
    pub tried: &'a [TargetId],
    /// Data centre of this entry.
    pub local_centre: &'a str,
    /// Service time of the call on a typical target in seconds; 0 to use the pool's median.
    pub expected_seconds: f64,
    /// Hash of the request, which restricts its copies on all entries to the same few targets;
    /// `None` for a random choice.
    pub request_hash: Option<u64>,
}

/// Target chosen for a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pick {
    /// Name of the target.
    pub target: TargetId,
    /// Address in the form `ip:port`.
    pub address: String,
}

/// Chooses among the targets of one pool by the load, speed and failures that this entry measured.
///
/// ```
/// use std::time::{Duration, Instant};
/// use route::{CallOutcome, PickQuery, PoolSettings, TargetPool, TargetSpec};
///
/// let now = Instant::now();
/// let mut pool = TargetPool::new(PoolSettings::default(), 7);
/// let spec = TargetSpec {
///     target: String::from("t1"),
///     address: String::from("127.0.0.1:9000"),
///     data_centre: String::from("north"),
///     capacity: 4,
///     leaving: false,
/// };
/// pool.set_targets([spec], now);
/// let pick = pool.pick(PickQuery::default(), now).unwrap();
/// pool.record_start(&pick.target, now);
/// let later = now + Duration::from_millis(80);
/// pool.record_end(&pick.target, later - now, CallOutcome::Answered, Some(0.25), later);
/// assert_eq!(pool.usable_capacity(later), 4);
/// assert!(pool.expected_service_time(later) < Duration::from_millis(100));
/// assert!(pool.take_standing_changes().is_empty());
///
/// pool.skip_pause(later + Duration::from_secs(5));
/// pool.set_centre_cost("south", Duration::from_micros(900));
/// pool.mark_leaving("t1", later);
/// assert_eq!(pool.pick(PickQuery::default(), later), None);
/// assert!(pool.status(later)[0].leaving);
/// ```
#[derive(Debug, Clone)]
pub struct TargetPool {
    settings: PoolSettings,
    /// Records of the targets, sorted by name.
    records: Vec<TargetRecord>,
    /// Measured extra time of a call to each other data centre.
    centre_costs: BTreeMap<CentreId, Duration>,
    generator: ChaCha8Rng,
    baseline: PoolBaseline,
    /// Time of the last [`Self::refresh`]; `None` if one is due at once.
    refreshed_at: Option<Instant>,
}

impl TargetPool {
    /// Creates a pool without targets; `seed` makes its random choices reproducible.
    pub fn new(settings: PoolSettings, seed: u64) -> Self {
        Self {
            baseline: PoolBaseline::new(settings.expected),
            settings,
            records: Vec::new(),
            centre_costs: BTreeMap::new(),
            generator: ChaCha8Rng::seed_from_u64(seed),
            refreshed_at: None,
        }
    }

    /// Replaces the targets by those of a sheet or host list; targets that stay at their address
    /// keep their measurements.
    pub fn set_targets(&mut self, specs: impl IntoIterator<Item = TargetSpec>, now: Instant) {
        let standing = match self.records.is_empty() {
            true => TargetStanding::Usable,
            false => TargetStanding::SlowStart(now),
        };
        for record in &mut self.records {
            record.is_listed = false;
        }
        for spec in specs {
            match self.position(&spec.target) {
                Ok(index) if self.records[index].spec.address == spec.address => {
                    self.records[index].spec = spec;
                    self.records[index].is_listed = true;
                }
                Ok(index) => {
                    let in_flight = self.records[index].in_flight;
                    self.records[index] = TargetRecord::new(spec, standing, now);
                    self.records[index].in_flight = in_flight;
                }
                Err(index) => {
                    let record = TargetRecord::new(spec, standing, now);
                    self.records.insert(index, record);
                }
            }
        }
        self.remove_unlisted();
        self.refreshed_at = None;
    }

    /// Marks a target as leaving, as announced by the target itself. The mark expires.
    pub fn mark_leaving(&mut self, target: &str, now: Instant) {
        if let Ok(index) = self.position(target) {
            self.records[index].leaving_until = Some(now + LEAVING_MARK_LIFETIME);
        }
    }

    /// Excludes the time until `now` from the measurements, because this process was paused and
    /// could not receive answers.
    pub fn skip_pause(&mut self, now: Instant) {
        for record in &mut self.records {
            record.skip_until(now);
        }
    }

    /// Sets the measured extra time of a call to a data centre.
    pub fn set_centre_cost(&mut self, data_centre: impl Into<CentreId>, cost: Duration) {
        self.centre_costs.insert(data_centre.into(), cost);
    }

    /// Chooses a target that the request has not tried; `None` if there is none.
    pub fn pick(&mut self, query: PickQuery<'_>, now: Instant) -> Option<Pick> {
        self.refresh(now);
        let choice = TargetChoice {
            settings: &self.settings,
            records: &self.records,
            centre_costs: &self.centre_costs,
            service_seconds: self.baseline.service_seconds,
            query,
            now,
        };
        let index = choice.pick(&mut self.generator)?;
        let spec = &self.records[index].spec;
        Some(Pick {
            target: spec.target.clone(),
            address: spec.address.clone(),
        })
    }

    /// Records that a call was sent to the target.
    pub fn record_start(&mut self, target: &str, now: Instant) {
        if let Ok(index) = self.position(target) {
            let record = &mut self.records[index];
            record.accrue_busy_time(self.settings.half_life, now);
            record.record_start();
        }
    }

    /// Records how a call ended and the load that the target reported with it, as a share of its
    /// capacity.
    pub fn record_end(
        &mut self,
        target: &str,
        elapsed: Duration,
        outcome: CallOutcome,
        reported_load: Option<f64>,
        now: Instant,
    ) {
        self.refresh(now);
        let Ok(index) = self.position(target) else {
            return;
        };
        let record = &mut self.records[index];
        record.accrue_busy_time(self.settings.half_life, now);
        record.record_end(outcome, elapsed, self.baseline.service_seconds);
        if let Some(load) = reported_load {
            record.record_load(load, now);
        }
        OutlierRule::new(&self.settings, self.baseline, now)
            .eject_if_outlier(&mut self.records, index);
        self.remove_unlisted();
    }

    /// Returns the time in which a further call would be answered now, including the wait at the
    /// target: the median over the usable targets.
    pub fn expected_service_time(&mut self, now: Instant) -> Duration {
        self.refresh(now);
        let answer_times = self.usable_records(now).map(|record| {
            let service_seconds = record.service_seconds(self.baseline.service_seconds);
            service_seconds * ((record.load(now) + 1.0) / record.capacity()).max(1.0)
        });
        Duration::from_secs_f64(
            median(answer_times.collect()).unwrap_or(self.baseline.service_seconds),
        )
    }

    /// Returns the number of calls that the usable targets can run at once.
    pub fn usable_capacity(&self, now: Instant) -> u32 {
        let slow_start = self.settings.slow_start;
        let share = |record: &TargetRecord| record.capacity() * record.ramp_share(slow_start, now);
        self.usable_records(now).map(share).sum::<f64>().round() as u32
    }

    /// Returns the targets whose standing has changed since the last call of this method.
    pub fn take_standing_changes(&mut self) -> Vec<StandingChange> {
        let mut changes = Vec::new();
        for record in &mut self.records {
            if record.reported_standing != record.standing {
                record.reported_standing = record.standing;
                changes.push(StandingChange {
                    target: record.spec.target.clone(),
                    standing: record.standing,
                });
            }
        }
        changes
    }

    /// Returns the status of each target for operators, sorted by name.
    pub fn status(&self, now: Instant) -> Vec<TargetStatus> {
        let status = self.records.iter().map(|record| TargetStatus {
            target: record.spec.target.clone(),
            in_flight: record.in_flight,
            service_time: Duration::from_secs_f64(
                record.service_seconds(self.baseline.service_seconds),
            ),
            failure_rate: record.failure_rate,
            standing: record.standing,
            leaving: record.is_leaving(now),
        });
        status.collect()
    }

    /// Returns the index of the target's record, or the index to insert one at.
    fn position(&self, target: &str) -> Result<usize, usize> {
        self.records
            .binary_search_by(|record| record.spec.target.as_str().cmp(target))
    }

    fn usable_records(&self, now: Instant) -> impl Iterator<Item = &TargetRecord> {
        let records = self.records.iter();
        records.filter(move |record| record.is_usable(now))
    }

    /// Removes targets that are no longer listed and run no calls.
    fn remove_unlisted(&mut self) {
        self.records
            .retain(|record| record.is_listed || record.in_flight > 0);
    }

    /// Decays the measurements, updates the pool's medians and ejects outliers, at most once per
    /// `REFRESH_INTERVAL`.
    fn refresh(&mut self, now: Instant) {
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < REFRESH_INTERVAL;
        if self.refreshed_at.is_some_and(is_fresh) {
            return;
        }
        self.refreshed_at = Some(now);
        for record in &mut self.records {
            record.accrue_busy_time(self.settings.half_life, now);
            record.update_standing(self.settings.slow_start, now);
        }
        self.baseline = self.baseline.update(&self.records, now);
        let rule = OutlierRule::new(&self.settings, self.baseline, now);
        for index in 0..self.records.len() {
            rule.eject_if_outlier(&mut self.records, index);
        }
    }
}
