use {
    crate::{PoolSettings, TargetStanding, target_record::TargetRecord},
    std::time::{Duration, Instant},
};

/// Calls that must have gone to a target before it can be ejected as slow.
const LEAST_CALLS: f64 = 4.0;
/// Ejections after which the time out of the pool doubles no further.
const MOST_DOUBLINGS: u32 = 10;
/// A target that stayed for this many of the longest times out starts afresh.
const FORGIVEN_AFTER: u32 = 4;
/// Least service time, so that nothing is divided by zero.
const LEAST_SERVICE: f64 = 0.000_001;

/// What is ordinary in a pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct PoolFigures {
    /// Seconds that a call takes once it has a place.
    pub service: f64,
    /// Share of calls that fail.
    pub failure_rate: f64,
}

impl PoolFigures {
    pub fn new(expected: Duration) -> Self {
        Self {
            service: expected.as_secs_f64().max(LEAST_SERVICE),
            failure_rate: 0.0,
        }
    }

    /// Figures of the usable targets, or the last ones if there is none.
    pub fn measure(self, records: &[TargetRecord], now: Instant) -> Self {
        let usable = || records.iter().filter(|record| record.is_usable(now));
        let services = usable().map(|record| record.service(self.service));
        let rates = usable().map(|record| record.failure_rate);
        let service = median(services.collect()).unwrap_or(self.service);
        Self {
            service: service.max(LEAST_SERVICE),
            failure_rate: median(rates.collect()).unwrap_or(self.failure_rate),
        }
    }
}

/// Ejects targets that do far worse than their pool, as far as there is room to eject.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OutlierRule<'a> {
    settings: &'a PoolSettings,
    figures: PoolFigures,
    now: Instant,
}

impl<'a> OutlierRule<'a> {
    pub fn new(settings: &'a PoolSettings, figures: PoolFigures, now: Instant) -> Self {
        Self {
            settings,
            figures,
            now,
        }
    }

    /// Ejects the target at this place if it must go.
    pub fn judge(&self, records: &mut [TargetRecord], place: usize) {
        let is_out = records[place].is_ejected();
        if !is_out && self.is_outlier(&records[place]) && self.has_room(records) {
            self.eject(&mut records[place]);
        }
    }

    fn is_outlier(&self, record: &TargetRecord) -> bool {
        let excess = record.failure_rate - self.figures.failure_rate;
        if excess > self.settings.eject_failures {
            return true;
        }
        let slowness = record.service(self.figures.service) / self.figures.service;
        slowness > self.settings.eject_slowness && record.calls >= LEAST_CALLS
    }

    /// True if one more may go; targets that are leaving count as out already.
    fn has_room(&self, records: &[TargetRecord]) -> bool {
        let listed = records.iter().filter(|record| record.listed);
        let size = listed.clone().count();
        let out = listed.filter(|record| !record.is_usable(self.now)).count();
        let allowed = (size as f64 * self.settings.eject_share).floor() as usize;
        out < allowed.min(size.saturating_sub(1))
    }

    fn eject(&self, record: &mut TargetRecord) {
        let settings = self.settings;
        let age = record
            .ejected_at
            .map(|at| self.now.saturating_duration_since(at));
        if age.is_some_and(|age| age > settings.eject_longest * FORGIVEN_AFTER) {
            record.ejections = 0;
        }
        let time = settings.eject_time * 2_u32.pow(record.ejections.min(MOST_DOUBLINGS));
        record.standing = TargetStanding::Ejected(self.now + time.min(settings.eject_longest));
        record.ejected_at = Some(self.now);
        record.ejections += 1;
    }
}

/// The middle value, the lower one of two.
pub(crate) fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied()
}
