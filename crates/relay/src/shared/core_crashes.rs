use {
    crate::shared::RelayCore,
    board::{CrashReport, HostTable},
    retry::{CrashFingerprint, PartKey, PartProof, request_key, short_hash},
    std::time::{Duration, Instant},
};

/// Time for which crashes are reported to other entries.
const REPORT_TIME: Duration = Duration::from_secs(60);
/// Maximum number of crashes that are reported to other entries, the latest ones.
const MAX_REPORTED_CRASHES: usize = 8;

/// What this entry and its peers know of whole requests, and of inputs of pieces, that crash targets.
///
/// Each target that dies takes requests with it that few entries have, so their crashes go to the others with
/// the records of hosts, and not, as those under shared parts of prompts, to all at once.
impl RelayCore {
    /// Records that a target died while it ran these requests, and reports it to the other entries.
    pub fn record_request_crash(
        &self,
        fingerprints: &[CrashFingerprint],
        target: &str,
        is_trial: bool,
    ) {
        let now = Instant::now();
        let target = short_hash(target);
        let keys: Vec<PartKey> = fingerprints.iter().map(request_key).collect();
        self.parts
            .borrow_mut()
            .record_crash(target, &keys, is_trial, now);
        let requests = fingerprints.iter().copied();
        let reports = requests.map(|request| (CrashReport { request, target }, now));
        self.recent_crashes.borrow_mut().extend(reports);
        self.crash_news.notify_one();
        self.log_part_changes();
    }

    /// Records that targets have answered these requests, or made pieces of these inputs. If one was
    /// suspect, all entries are told at once.
    pub fn record_request_answers(&self, keys: &[PartKey]) {
        let mut parts = self.parts.borrow_mut();
        let suspects: Vec<PartKey> = keys
            .iter()
            .copied()
            .filter(|key| parts.is_suspect(*key))
            .collect();
        parts.record_answer(keys, Instant::now());
        drop(parts);
        if !suspects.is_empty() {
            self.cleared_requests.borrow_mut().extend(suspects);
            self.cleared_news.notify_one();
            self.log_part_changes();
        }
    }

    /// Takes the proofs of requests that were cleared since the last call, for other entries.
    pub fn take_cleared_requests(&self) -> Vec<PartProof> {
        let keys = std::mem::take(&mut *self.cleared_requests.borrow_mut());
        let proofs = keys.into_iter().map(|part| PartProof {
            part,
            age: Duration::ZERO,
        });
        proofs.collect()
    }

    /// Returns the crashes to report: the latest ones whose requests no target has answered.
    pub(super) fn reported_crashes(&self, now: Instant) -> Vec<CrashReport> {
        let parts = self.parts.borrow();
        let mut recent = self.recent_crashes.borrow_mut();
        recent.retain(|(report, seen)| {
            let is_recent = now.saturating_duration_since(*seen) < REPORT_TIME;
            is_recent && !parts.is_cleared(request_key(&report.request), *seen)
        });
        let skipped_count = recent.len().saturating_sub(MAX_REPORTED_CRASHES);
        let reports = recent[skipped_count..].iter();
        reports.map(|(report, _)| *report).collect()
    }

    /// Merges the crashes that live peers report.
    pub(super) fn merge_crashes(&self, hosts: &HostTable, now: Instant) {
        let mut parts = self.parts.borrow_mut();
        for report in hosts.live_peers(now).flat_map(|record| &record.crashes) {
            let key = request_key(&report.request);
            parts.record_crash(report.target, &[key], false, now);
        }
        drop(parts);
        self.log_part_changes();
    }
}
