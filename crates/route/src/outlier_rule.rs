use {
    crate::{PoolSettings, TargetStanding, target_record::TargetRecord},
    std::time::{Duration, Instant},
};

/// Minimum number of recent calls to a target before it can be ejected as slow.
const MIN_CALLS: f64 = 4.0;
/// Number of ejections after which the ejection time no longer doubles.
const MAX_DOUBLINGS: u32 = 10;
/// The ejection count of a target is reset once this multiple of the longest ejection time has
/// passed since its last ejection.
const RESET_FACTOR: u32 = 4;
/// Minimum service time in seconds, to avoid division by zero.
const MIN_SERVICE_SECONDS: f64 = 0.000_001;

/// Medians of a pool, with which each target is compared.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct PoolBaseline {
    /// Service time of a call in seconds, without queueing.
    pub service_seconds: f64,
    /// Share of calls that fail, from 0 to 1.
    pub failure_rate: f64,
}

impl PoolBaseline {
    pub fn new(expected: Duration) -> Self {
        Self {
            service_seconds: expected.as_secs_f64().max(MIN_SERVICE_SECONDS),
            failure_rate: 0.0,
        }
    }

    /// Returns the medians of the usable targets, or the previous values if no target is usable.
    pub fn update(self, records: &[TargetRecord], now: Instant) -> Self {
        let usable = || records.iter().filter(|record| record.is_usable(now));
        let service_times = usable().map(|record| record.service_seconds(self.service_seconds));
        let rates = usable().map(|record| record.failure_rate);
        let service_seconds = median(service_times.collect()).unwrap_or(self.service_seconds);
        Self {
            service_seconds: service_seconds.max(MIN_SERVICE_SECONDS),
            failure_rate: median(rates.collect()).unwrap_or(self.failure_rate),
        }
    }
}

/// Ejects targets that perform far worse than their pool, up to `eject_share` of the targets.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OutlierRule<'a> {
    settings: &'a PoolSettings,
    baseline: PoolBaseline,
    now: Instant,
}

impl<'a> OutlierRule<'a> {
    pub fn new(settings: &'a PoolSettings, baseline: PoolBaseline, now: Instant) -> Self {
        Self {
            settings,
            baseline,
            now,
        }
    }

    /// Ejects the target at this index if it is an outlier and the ejected share allows it.
    pub fn eject_if_outlier(&self, records: &mut [TargetRecord], index: usize) {
        let is_ejected_already = records[index].is_ejected();
        if !is_ejected_already && self.is_outlier(&records[index]) && self.has_room(records) {
            self.eject(&mut records[index]);
        }
    }

    fn is_outlier(&self, record: &TargetRecord) -> bool {
        let excess = record.failure_rate - self.baseline.failure_rate;
        if excess > self.settings.eject_failures {
            return true;
        }
        let slowness =
            record.service_seconds(self.baseline.service_seconds) / self.baseline.service_seconds;
        slowness > self.settings.eject_slowness && record.recent_calls >= MIN_CALLS
    }

    /// True if one more target may be ejected; targets that are leaving count as ejected. At least
    /// one listed target stays usable.
    fn has_room(&self, records: &[TargetRecord]) -> bool {
        let listed = records.iter().filter(|record| record.is_listed);
        let listed_count = listed.clone().count();
        let unavailable = listed.filter(|record| !record.is_usable(self.now)).count();
        let allowed = (listed_count as f64 * self.settings.eject_share).floor() as usize;
        unavailable < allowed.min(listed_count.saturating_sub(1))
    }

    fn eject(&self, record: &mut TargetRecord) {
        let settings = self.settings;
        let age = record
            .ejected_at
            .map(|at| self.now.saturating_duration_since(at));
        if age.is_some_and(|age| age > settings.eject_longest * RESET_FACTOR) {
            record.ejections = 0;
        }
        let ejection_time = settings.eject_time * 2_u32.pow(record.ejections.min(MAX_DOUBLINGS));
        record.standing =
            TargetStanding::Ejected(self.now + ejection_time.min(settings.eject_longest));
        record.ejected_at = Some(self.now);
        record.ejections += 1;
    }
}

/// Returns the median, the lower of the two middle values for an even number; `None` if empty.
pub(crate) fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied()
}
