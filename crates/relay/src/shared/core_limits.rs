use {
    crate::shared::{LimitedPlace, RelayCore},
    limit::{LimitNotice, LimitWord, TargetWord},
    slog::{info, warn},
    std::time::{Duration, Instant},
};

/// The limits that targets named, and the calls that they leave to this entry.
impl RelayCore {
    /// Records what a target said of its limit in the answer to a call that was sent at
    /// `called_at`, and tells the other entries if that is news.
    pub fn record_limit(&self, target: &str, word: TargetWord, called_at: Instant) {
        if word.limit == LimitWord::Unreadable {
            warn!(self.log, "limit of a target could not be read"; "target" => target);
        }
        let now = Instant::now();
        if let Some(row) = self.state.borrow().targets.get(target) {
            let mut services = self.brittle_services.borrow_mut();
            services.record(&row.service, word.is_brittle, called_at, now);
        }
        let started_ms = self.started_ms(target);
        let mut limits = self.limits.borrow_mut();
        if !limits.record(target, started_ms, word, called_at, now) {
            return;
        }
        let interval = limits.interval(target, started_ms);
        drop(limits);
        info!(self.log, "target named its limit"; "target" => target,
            "interval_ms" => interval.map(|interval| interval.as_millis() as u64),
            "brittle" => word.is_brittle);
        self.metrics.target_limits.inc();
        self.hold_target(target, None);
        self.limit_news.notify_one();
    }

    /// Merges what targets told another entry of their limits.
    pub fn merge_limits(&self, notices: &[LimitNotice]) {
        let now = Instant::now();
        for notice in notices {
            let state = self.state.borrow();
            if let Some(row) = state.targets.get(&notice.target)
                && notice.is_brittle
            {
                let mut services = self.brittle_services.borrow_mut();
                services.record(&row.service, true, now, now);
            }
            drop(state);
            if self.limits.borrow_mut().merge(notice, now) {
                // The time for which the target was held goes by what it said before.
                self.hold_target(&notice.target, None);
                info!(self.log, "peer told the limit of a target"; "target" => &notice.target,
                    "interval_ms" => notice.interval.map(|interval| interval.as_millis() as u64),
                    "brittle" => notice.is_brittle);
            }
        }
    }

    /// Returns what the target that is listed under this id said last of its limit; `None` if it
    /// names none.
    pub fn target_limit(&self, target: &str) -> Option<LimitNotice> {
        let started_ms = self.started_ms(target);
        let notice = self
            .limits
            .borrow()
            .notice(target, started_ms, Instant::now());
        notice.filter(|notice| notice.interval.is_some())
    }

    /// Returns the number of slots of the target that is listed under this id if it is brittle.
    pub fn brittle_slots(&self, target: &str) -> Option<u32> {
        let state = self.state.borrow();
        let row = state.targets.get(target)?;
        let limits = self.limits.borrow();
        let services = self.brittle_services.borrow();
        let is_brittle = limits.is_brittle(target, row.started_ms)
            || services.is_brittle(&row.service, Instant::now());
        is_brittle.then_some(row.slots.max(1))
    }

    /// Returns the intervals between calls of the targets of a service that take calls now; `None`
    /// if one of them names no limit.
    pub fn service_limits(&self, service: &str, now: Instant) -> Option<Vec<Duration>> {
        let pools = self.pools.borrow();
        let targets = pools.get(service)?.accepting_targets(now);
        let limits = self.limits.borrow();
        targets
            .map(|(target, started_ms)| limits.interval(target, started_ms))
            .collect()
    }

    /// Takes a place for a request to a service whose targets that take calls now number
    /// `target_count` and are all limited; `None` if there are requests for all of them.
    pub fn take_limited_place(&self, service: &str, target_count: usize) -> Option<LimitedPlace> {
        let mut places = self.limited_places.borrow_mut();
        let count = places.entry(service.to_string()).or_default();
        LimitedPlace::take(count, target_count)
    }

    /// Sends the target nothing until this time, or as usual again if there is none.
    pub fn hold_target(&self, target: &str, until: Option<Instant>) {
        for pool in self.pools.borrow_mut().values_mut() {
            pool.hold_target(target, until);
        }
        self.batch_service.hold_target(target, until);
    }
}
