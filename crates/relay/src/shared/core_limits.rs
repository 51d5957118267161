use {
    crate::shared::RelayCore,
    limit::{LimitNotice, LimitWord},
    slog::{info, warn},
    std::time::Instant,
};

/// The limits that targets named, and the calls that they leave to this entry.
impl RelayCore {
    /// Records what a target said of its limit in the answer to a call that was sent at
    /// `called_at`, and tells the other entries if that is news.
    pub fn record_limit(&self, target: &str, word: LimitWord, called_at: Instant) {
        if word == LimitWord::Unreadable {
            warn!(self.log, "limit of a target could not be read"; "target" => target);
        }
        let now = Instant::now();
        let started_ms = self.started_ms(target);
        let mut limits = self.limits.borrow_mut();
        if !limits.record(target, started_ms, word, called_at, now) {
            return;
        }
        let interval = limits.interval(target, started_ms);
        drop(limits);
        info!(self.log, "target named its limit"; "target" => target,
            "interval_ms" => interval.map(|interval| interval.as_millis() as u64));
        self.metrics.target_limits.inc();
        self.hold_target(target, None);
        self.limit_news.notify_one();
    }

    /// Merges what targets told another entry of their limits.
    pub fn merge_limits(&self, notices: &[LimitNotice]) {
        let now = Instant::now();
        for notice in notices {
            if self.limits.borrow_mut().merge(notice, now) {
                // The time for which the target was held goes by what it said before.
                self.hold_target(&notice.target, None);
                info!(self.log, "peer told the limit of a target"; "target" => &notice.target,
                    "interval_ms" => notice.interval.map(|interval| interval.as_millis() as u64));
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

    /// Sends the target nothing until this time, or as usual again if there is none.
    pub fn hold_target(&self, target: &str, until: Option<Instant>) {
        for pool in self.pools.borrow_mut().values_mut() {
            pool.hold_target(target, until);
        }
        self.batch_service.hold_target(target, until);
    }
}
