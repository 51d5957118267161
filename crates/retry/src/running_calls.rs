use {
    crate::{CrashFingerprint, SuspectCall},
    base::{StageIndex, TargetId},
    std::collections::{BTreeMap, BTreeSet},
};

/// Calls that run now, by request.
#[derive(Debug, Clone, Default)]
pub(crate) struct RunningCalls {
    calls: BTreeMap<CrashFingerprint, Vec<(StageIndex, TargetId)>>,
}

impl RunningCalls {
    pub fn insert(&mut self, call: SuspectCall<'_>) {
        let running = self.calls.entry(call.fingerprint).or_default();
        running.push((call.stage, call.target.to_string()));
    }

    pub fn remove(&mut self, call: SuspectCall<'_>) {
        let Some(running) = self.calls.get_mut(&call.fingerprint) else {
            return;
        };
        let same = |row: &(StageIndex, TargetId)| row.0 == call.stage && row.1 == call.target;
        if let Some(place) = running.iter().position(same) {
            running.swap_remove(place);
        }
        if running.is_empty() {
            self.calls.remove(&call.fingerprint);
        }
    }

    /// Targets that the request runs on, other than this one.
    pub fn other_targets(&self, call: SuspectCall<'_>) -> usize {
        let running = self.calls.get(&call.fingerprint).into_iter().flatten();
        let targets: BTreeSet<&str> = running.map(|(_, target)| target.as_str()).collect();
        targets
            .into_iter()
            .filter(|&target| target != call.target)
            .count()
    }

    pub fn is_running(&self, fingerprint: &CrashFingerprint) -> bool {
        self.calls.contains_key(fingerprint)
    }

    /// Requests that run on the target.
    pub fn on_target<'a>(&'a self, target: &'a str) -> impl Iterator<Item = &'a CrashFingerprint> {
        let runs_there =
            move |rows: &[(StageIndex, TargetId)]| rows.iter().any(|row| row.1 == target);
        self.calls
            .iter()
            .filter(move |(_, rows)| runs_there(rows))
            .map(|(fingerprint, _)| fingerprint)
    }
}
