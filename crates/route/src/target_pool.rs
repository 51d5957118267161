use {
    crate::{
        CallOutcome, PoolSettings, TargetSpec, TargetStanding, TargetStatus,
        entry_ranking::weighted_score, target_record::TargetRecord,
    },
    base::{CentreId, TargetId},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Time between two computations of the pool's own figures.
const REFRESH_TIME: Duration = Duration::from_millis(50);
/// Calls that must have gone to a target before it can be ejected as slow.
const LEAST_CALLS: f64 = 4.0;
/// Time for which a target's own word that it is leaving holds.
const LEAVING_MEMORY: Duration = Duration::from_secs(60);

/// What a call needs of its target.
#[derive(Debug, Clone, Copy, Default)]
pub struct PickQuery<'a> {
    /// Hash of the prompt's prefix, where an engine may have it cached.
    pub prefix: Option<u64>,
    /// Targets that this request has tried already.
    pub tried: &'a [TargetId],
    /// Data centre of this entry.
    pub local_centre: &'a str,
    /// Seconds that the call takes on an ordinary target; 0 if it is an ordinary call.
    pub expected_cost: f64,
    /// Hash of the request: its copies on all entries choose among the same few targets. The
    /// choice is random without it.
    pub copies: Option<u64>,
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
/// pool.started(&pick.target, now);
/// let later = now + Duration::from_millis(80);
/// pool.answered(&pick.target, later - now, CallOutcome::Whole, Some(0.25), later);
/// assert_eq!(pool.usable_capacity(later), 4);
/// ```
#[derive(Debug, Clone)]
pub struct TargetPool {
    settings: PoolSettings,
    records: Vec<TargetRecord>,
    centre_costs: BTreeMap<CentreId, Duration>,
    generator: ChaCha8Rng,
    service: f64,
    refreshed: Option<Instant>,
}

impl TargetPool {
    /// Pool without targets.
    pub fn new(settings: PoolSettings, seed: u64) -> Self {
        Self {
            service: settings.expected.as_secs_f64().max(0.000_001),
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
                Ok(place) => self.records[place] = TargetRecord::new(spec, standing, now),
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

    /// Sets what a call to a data centre costs in time, as measured.
    pub fn set_centre_cost(&mut self, data_centre: impl Into<CentreId>, cost: Duration) {
        self.centre_costs.insert(data_centre.into(), cost);
    }

    /// Chooses a target that the request has not tried; `None` if there is none.
    pub fn pick(&mut self, query: PickQuery<'_>, now: Instant) -> Option<Pick> {
        self.refresh(now);
        let open = self.open_places(query.tried, now);
        let place = match open.is_empty() {
            true => self.last_resort(query.tried, now)?,
            false => self.choose(&open, query, now)?,
        };
        let spec = &self.records[place].spec;
        Some(Pick {
            target: spec.target.clone(),
            address: spec.address.clone(),
        })
    }

    /// Records that a call went to the target.
    pub fn started(&mut self, target: &str, now: Instant) {
        if let Ok(place) = self.position(target) {
            let record = &mut self.records[place];
            record.advance(self.settings.half_life, now);
            record.start();
        }
    }

    /// Records how a call ended and the load that the target reported with it.
    pub fn answered(
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
        record.finish(outcome, elapsed, self.service);
        if let Some(load) = reported_load {
            record.report(load, now);
        }
        self.judge(place, now);
        self.drop_unlisted();
    }

    /// Time in which a call would be answered now, waiting at the target included.
    pub fn expected_service(&mut self, now: Instant) -> Duration {
        self.refresh(now);
        let waits = self.usable(now).map(|record| {
            let service = record.service(self.service);
            service * ((record.load(now) + 1.0) / record.capacity()).max(1.0)
        });
        Duration::from_secs_f64(median(waits.collect()).unwrap_or(self.service))
    }

    /// Calls that the usable targets can run at once.
    pub fn usable_capacity(&self, now: Instant) -> u32 {
        let slow_start = self.settings.slow_start;
        let part = |record: &TargetRecord| record.capacity() * record.ramp(slow_start, now);
        self.usable(now).map(part).sum::<f64>().round() as u32
    }

    /// What is known of each target.
    pub fn status(&self, now: Instant) -> Vec<TargetStatus> {
        let rows = self.records.iter().map(|record| TargetStatus {
            target: record.spec.target.clone(),
            in_flight: record.in_flight,
            service: Duration::from_secs_f64(record.service(self.service)),
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
        self.records
            .iter()
            .filter(move |record| !record.is_leaving(now) && !record.is_ejected())
    }

    fn drop_unlisted(&mut self) {
        self.records
            .retain(|record| record.listed || record.in_flight > 0);
    }

    /// Places that may be chosen, each with its weight in the random choice.
    fn open_places(&self, tried: &[TargetId], now: Instant) -> Vec<(usize, f64)> {
        let mut open = Vec::with_capacity(self.records.len());
        for (place, record) in self.records.iter().enumerate() {
            let ramp = record.ramp(self.settings.slow_start, now);
            let full =
                ramp < 1.0 && f64::from(record.in_flight) >= (ramp * record.capacity()).max(1.0);
            if ramp > 0.0
                && !full
                && !record.is_leaving(now)
                && !tried.contains(&record.spec.target)
            {
                open.push((place, ramp * record.capacity()));
            }
        }
        open
    }

    /// A target that would not be used if there were another: the one nearest to its return.
    fn last_resort(&self, tried: &[TargetId], now: Instant) -> Option<usize> {
        let returns = |record: &TargetRecord| match record.standing {
            TargetStanding::Ejected(until) => until,
            TargetStanding::Usable | TargetStanding::Returning(_) => now,
        };
        (0..self.records.len())
            .filter(|&place| !self.records[place].is_leaving(now))
            .filter(|&place| !tried.contains(&self.records[place].spec.target))
            .min_by_key(|&place| (returns(&self.records[place]), self.records[place].in_flight))
    }

    fn choose(
        &mut self,
        open: &[(usize, f64)],
        query: PickQuery<'_>,
        now: Instant,
    ) -> Option<usize> {
        let drawn = match query.copies {
            Some(hash) => self.draw_alike(open, hash, now),
            None => self.draw(open),
        };
        let cost = |place: usize| self.cost(place, query, now);
        let best = drawn
            .into_iter()
            .min_by(|left, right| cost(*left).total_cmp(&cost(*right)))?;
        // A copy that was sent on stays among the targets of its other copies.
        let sent_on = query.copies.is_some() && !query.tried.is_empty();
        let prefix = query.prefix.filter(|_| !sent_on);
        let Some(owner) = prefix.and_then(|prefix| self.prefix_owner(open, prefix)) else {
            return Some(best);
        };
        let ordinary = match query.expected_cost > 0.0 {
            true => query.expected_cost,
            false => self.service,
        };
        let saved = self.settings.prefix_saving * ordinary;
        match cost(owner) - saved <= cost(best) {
            true => Some(owner),
            false => Some(best),
        }
    }

    /// Draws different places at random by weight.
    fn draw(&mut self, open: &[(usize, f64)]) -> Vec<usize> {
        let mut rest = open.to_vec();
        let mut drawn = Vec::with_capacity(self.settings.choices);
        while drawn.len() < self.settings.choices.max(1) && !rest.is_empty() {
            let total: f64 = rest.iter().map(|(_, weight)| weight).sum();
            let mut point = self.generator.random::<f64>() * total;
            let hit = rest.iter().position(|(_, weight)| {
                point -= weight;
                point < 0.0
            });
            let (place, _) = rest.swap_remove(hit.unwrap_or(rest.len() - 1));
            drawn.push(place);
        }
        drawn
    }

    /// Draws places by weight, the same ones for the same hash on every entry, those that were
    /// tried included. Over many hashes it draws as often as the random choice does.
    fn draw_alike(&self, open: &[(usize, f64)], hash: u64, now: Instant) -> Vec<usize> {
        let score = |place: usize, weight| {
            let record = &self.records[place];
            weighted_score(mix(record.hash ^ mix(hash)), weight)
        };
        let mut ranked: Vec<(f64, usize)> = self
            .open_places(&[], now)
            .into_iter()
            .map(|(place, weight)| (score(place, weight), place))
            .collect();
        ranked.sort_by(|left, right| right.0.total_cmp(&left.0));
        let is_open = |place: &usize| open.iter().any(|(other, _)| other == place);
        let choices = self.settings.choices.max(1);
        let places = || ranked.iter().map(|(_, place)| *place);
        let drawn: Vec<usize> = places().take(choices).filter(is_open).collect();
        match drawn.is_empty() {
            true => places().find(is_open).into_iter().collect(),
            false => drawn,
        }
    }

    /// Seconds until a call would be answered, the way to the target included.
    fn cost(&self, place: usize, query: PickQuery<'_>, now: Instant) -> f64 {
        let record = &self.records[place];
        let wait = record.wait(record.service(self.service), now);
        if record.spec.data_centre == query.local_centre {
            return wait;
        }
        let way = self.centre_costs.get(&record.spec.data_centre);
        wait + way.unwrap_or(&self.settings.centre_cost).as_secs_f64()
    }

    fn prefix_owner(&self, open: &[(usize, f64)], prefix: u64) -> Option<usize> {
        let score = |place: usize| {
            let record = &self.records[place];
            weighted_score(mix(record.hash ^ mix(prefix)), record.capacity())
        };
        open.iter()
            .map(|(place, _)| *place)
            .max_by(|left, right| score(*left).total_cmp(&score(*right)))
    }

    /// Brings the pool's figures up to date and lets targets return whose time out is over.
    fn refresh(&mut self, now: Instant) {
        let fresh = |at: Instant| now.saturating_duration_since(at) < REFRESH_TIME;
        if self.refreshed.is_some_and(fresh) {
            return;
        }
        self.refreshed = Some(now);
        for record in &mut self.records {
            record.advance(self.settings.half_life, now);
            match record.standing {
                TargetStanding::Ejected(until) if until <= now => {
                    record.forget();
                    record.standing = TargetStanding::Returning(now);
                }
                TargetStanding::Returning(_)
                    if record.ramp(self.settings.slow_start, now) >= 1.0 =>
                {
                    record.standing = TargetStanding::Usable;
                }
                _ => {}
            }
        }
        let services = self.usable(now).map(|record| record.service(self.service));
        self.service = median(services.collect()).unwrap_or(self.service);
        for place in 0..self.records.len() {
            self.judge(place, now);
        }
    }

    /// Ejects the target if it does far worse than its pool and there is room to eject.
    fn judge(&mut self, place: usize, now: Instant) {
        if self.records[place].is_ejected() || !self.is_outlier(place, now) {
            return;
        }
        let size = self.records.iter().filter(|row| row.listed).count();
        let out = self.records.iter().filter(|row| row.is_ejected()).count();
        let allowed = (size as f64 * self.settings.eject_share).floor() as usize;
        if out < allowed.min(size.saturating_sub(1)) {
            self.eject(place, now);
        }
    }

    fn is_outlier(&self, place: usize, now: Instant) -> bool {
        let record = &self.records[place];
        let rates = self.usable(now).map(|row| row.failure_rate).collect();
        let pool_rate = median(rates).unwrap_or(0.0);
        if record.failure_rate > pool_rate + self.settings.eject_failures {
            return true;
        }
        let slow = record.service(self.service) > self.settings.eject_slowness * self.service;
        slow && record.calls >= LEAST_CALLS
    }

    fn eject(&mut self, place: usize, now: Instant) {
        let settings = self.settings;
        let record = &mut self.records[place];
        let forgiven = settings.eject_longest * 4;
        let age = record
            .ejected_at
            .map(|at| now.saturating_duration_since(at));
        if age.is_some_and(|age| age > forgiven) {
            record.ejections = 0;
        }
        let time = settings.eject_time * 2_u32.pow(record.ejections.min(10));
        record.standing = TargetStanding::Ejected(now + time.min(settings.eject_longest));
        record.ejected_at = Some(now);
        record.ejections += 1;
    }
}

/// Spreads the bits of a hash (the finaliser of SplitMix64).
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied()
}
