use {
    crate::shared::RelayCore,
    retry::{CrashKey, PartChange, PartKey, PartNews, PartProof, crash_key},
    slog::{info, warn},
    std::time::Instant,
};

/// What this entry and its peers know of parts of prompts that crash targets.
impl RelayCore {
    /// Returns the key of the process that a target has now.
    pub fn crash_key(&self, target: &str) -> CrashKey {
        crash_key(target, self.started_ms(target))
    }

    /// Records that a target's process ended under a request with these parts before it began to
    /// answer, and tells the other entries.
    pub fn record_part_crash(&self, crash: CrashKey, parts: &[PartKey], is_trial: bool) {
        let now = Instant::now();
        let mut tracker = self.parts.borrow_mut();
        if tracker.record_crash(crash, parts, is_trial, now) {
            self.metrics.part_crashes.inc();
            self.part_news.notify_one();
        }
        drop(tracker);
        self.log_part_changes();
    }

    /// Records that a target answers a request with these parts.
    pub fn record_part_answer(&self, parts: &[PartKey]) {
        let is_news = self.parts.borrow_mut().record_answer(parts, Instant::now());
        if is_news {
            self.part_news.notify_one();
            self.log_part_changes();
        }
    }

    /// Merges what another entry tells; returns this entry's proofs for parts that it blames.
    pub fn merge_part_news(&self, news: &PartNews) -> Vec<PartProof> {
        let proofs = self.parts.borrow_mut().merge(news, Instant::now());
        self.log_part_changes();
        proofs
    }

    /// Merges a peer's proofs for parts that this entry blames, and tells the other entries of those
    /// that change something.
    pub fn merge_part_proofs(&self, proofs: Vec<PartProof>) {
        let digest = self.parts.borrow().digest();
        let news = PartNews {
            crashes: Vec::new(),
            proofs,
        };
        self.merge_part_news(&news);
        if self.parts.borrow().digest() != digest {
            self.part_news.notify_one();
        }
    }

    pub(super) fn log_part_changes(&self) {
        for change in self.parts.borrow_mut().take_changes() {
            match change {
                PartChange::Suspected { part, crashes } => {
                    self.metrics.suspect_parts.inc();
                    warn!(self.log, "prompt part suspected"; "part" => part_name(part),
                        "crashes" => crashes);
                }
                PartChange::Cleared { part } => {
                    info!(self.log, "prompt part cleared"; "part" => part_name(part));
                }
            }
        }
    }
}

/// Returns the name of a part in logs.
pub fn part_name(part: PartKey) -> String {
    format!("{part:016x}")
}
