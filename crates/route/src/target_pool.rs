use {
    crate::{
        CallOutcome, PoolSettings, StandingChange, TargetSpec, TargetStanding, TargetStatus,
        outlier_rule::{OutlierRule, PoolFigures, median},
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

/// Time between two computations of the pool's own figures.
const REFRESH_TIME: Duration = Duration::from_millis(50);
/// Time for which a target's own word that it is leaving holds.
const LEAVING_MEMORY: Duration = Duration::from_secs(60);

/// What a call needs of its target.
#[derive(Debug, Clone, Copy, Default)]
pub struct PickQuery<'a> {
    /// Hash of the prompt's prefix, where an engine may have it cached.
    pub prefix_hash: Option<u64>,
    /// Targets that this request has tried already.
    pub tried: &'a [TargetId],
    /// Data centre of this entry.
    pub local_centre: &'a str,
    /// Seconds that the call takes on an ordinary target; 0 if it is an ordinary call.
    pub expected_seconds: f64,
    /// Hash of the request: its copies on all entries choose among the same few targets. The
    /// choice is random without it.
    pub request_hash: Option<u64>,
}

/// Target that a call should go to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pick {
    /// Name of the target.
    pub target: TargetId,
    /// Address in the form `ip:port`.
    pub address: String,
}

/// Chooses among the targets of one pool by what this entry has measured of them.
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
/// assert!(pool.expected_service(later) < Duration::from_millis(100));
/// assert!(pool.take_changes().is_empty());
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
    records: Vec<TargetRecord>,
    centre_costs: BTreeMap<CentreId, Duration>,
    generator: ChaCha8Rng,
    figures: PoolFigures,
    refreshed: Option<Instant>,
}

impl TargetPool {
    /// Pool without targets.
    pub fn new(settings: PoolSettings, seed: u64) -> Self {
        Self {
            figures: PoolFigures::new(settings.expected),
            settings,
            records: Vec::new(),
            centre_costs: BTreeMap::new(),
            generator: ChaCha8Rng::seed_from_u64(seed),
            refreshed: None,
        }
    }

    /// Takes over the targets of a sheet or host list; what was measured of those that stay is
    /// kept.
    pub fn set_targets(&mut self, rows: impl IntoIterator<Item = TargetSpec>, now: Instant) {
        let standing = match self.records.is_empty() {
            true => TargetStanding::Usable,
            false => TargetStanding::Returning(now),
        };
        for record in &mut self.records {
            record.listed = false;
        }
        for spec in rows {
            match self.position(&spec.target) {
                Ok(place) if self.records[place].spec.address == spec.address => {
                    self.records[place].spec = spec;
                    self.records[place].listed = true;
                }
                Ok(place) => {
                    let in_flight = self.records[place].in_flight;
                    self.records[place] = TargetRecord::new(spec, standing, now);
                    self.records[place].in_flight = in_flight;
                }
                Err(place) => {
                    let record = TargetRecord::new(spec, standing, now);
                    self.records.insert(place, record);
                }
            }
        }
        self.drop_unlisted();
        self.refreshed = None;
    }

    /// Marks a target that said itself that it is leaving.
    pub fn mark_leaving(&mut self, target: &str, now: Instant) {
        if let Ok(place) = self.position(target) {
            self.records[place].leaving_until = Some(now + LEAVING_MEMORY);
        }
    }

    /// Leaves out the time until now, in which this process did not run and so saw no answers.
    pub fn skip_pause(&mut self, now: Instant) {
        for record in &mut self.records {
            record.skip_to(now);
        }
    }

    /// Sets what a call to a data centre costs in time, as measured.
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
            service: self.figures.service,
            query,
            now,
        };
        let place = choice.pick(&mut self.generator)?;
        let spec = &self.records[place].spec;
        Some(Pick {
            target: spec.target.clone(),
            address: spec.address.clone(),
        })
    }

    /// Records that a call went to the target.
    pub fn record_start(&mut self, target: &str, now: Instant) {
        if let Ok(place) = self.position(target) {
            let record = &mut self.records[place];
            record.advance(self.settings.half_life, now);
            record.start();
        }
    }

    /// Records how a call ended and the load that the target reported with it.
    pub fn record_end(
        &mut self,
        target: &str,
        elapsed: Duration,
        outcome: CallOutcome,
        reported_load: Option<f64>,
        now: Instant,
    ) {
        self.refresh(now);
        let Ok(place) = self.position(target) else {
            return;
        };
        let record = &mut self.records[place];
        record.advance(self.settings.half_life, now);
        record.finish(outcome, elapsed, self.figures.service);
        if let Some(load) = reported_load {
            record.report(load, now);
        }
        OutlierRule::new(&self.settings, self.figures, now).judge(&mut self.records, place);
        self.drop_unlisted();
    }

    /// Time in which a call would be answered now, waiting at the target included.
    pub fn expected_service(&mut self, now: Instant) -> Duration {
        self.refresh(now);
        let waits = self.usable(now).map(|record| {
            let service = record.service(self.figures.service);
            service * ((record.load(now) + 1.0) / record.capacity()).max(1.0)
        });
        Duration::from_secs_f64(median(waits.collect()).unwrap_or(self.figures.service))
    }

    /// Calls that the usable targets can run at once.
    pub fn usable_capacity(&self, now: Instant) -> u32 {
        let slow_start = self.settings.slow_start;
        let part = |record: &TargetRecord| record.capacity() * record.ramp(slow_start, now);
        self.usable(now).map(part).sum::<f64>().round() as u32
    }

    /// Targets whose standing has changed since this was last asked.
    pub fn take_changes(&mut self) -> Vec<StandingChange> {
        let mut changes = Vec::new();
        for record in &mut self.records {
            if record.told_standing != record.standing {
                record.told_standing = record.standing;
                changes.push(StandingChange {
                    target: record.spec.target.clone(),
                    standing: record.standing,
                });
            }
        }
        changes
    }

    /// What is known of each target.
    pub fn status(&self, now: Instant) -> Vec<TargetStatus> {
        let rows = self.records.iter().map(|record| TargetStatus {
            target: record.spec.target.clone(),
            in_flight: record.in_flight,
            service: Duration::from_secs_f64(record.service(self.figures.service)),
            failure_rate: record.failure_rate,
            standing: record.standing,
            leaving: record.is_leaving(now),
        });
        rows.collect()
    }

    fn position(&self, target: &str) -> Result<usize, usize> {
        self.records
            .binary_search_by(|record| record.spec.target.as_str().cmp(target))
    }

    fn usable(&self, now: Instant) -> impl Iterator<Item = &TargetRecord> {
        let records = self.records.iter();
        records.filter(move |record| record.is_usable(now))
    }

    fn drop_unlisted(&mut self) {
        self.records
            .retain(|record| record.listed || record.in_flight > 0);
    }

    /// Brings the pool's figures up to date and judges every target by them.
    fn refresh(&mut self, now: Instant) {
        let fresh = |at: Instant| now.saturating_duration_since(at) < REFRESH_TIME;
        if self.refreshed.is_some_and(fresh) {
            return;
        }
        self.refreshed = Some(now);
        for record in &mut self.records {
            record.advance(self.settings.half_life, now);
            record.come_back(self.settings.slow_start, now);
        }
        self.figures = self.figures.measure(&self.records, now);
        let rule = OutlierRule::new(&self.settings, self.figures, now);
        for place in 0..self.records.len() {
            rule.judge(&mut self.records, place);
        }
    }
}
