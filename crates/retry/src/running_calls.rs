use {
    crate::{CrashFingerprint, TrackedCall},
    base::{StageIndex, TargetId},
    std::collections::{BTreeMap, BTreeSet},
};

/// A call that runs now.
#[derive(Debug, Clone)]
struct RunningCall {
    stage: StageIndex,
    target: TargetId,
    /// True if another copy has already struck for the death of the target.
    struck: bool,
}

/// Calls that run now, by request.
#[derive(Debug, Clone, Default)]
pub(crate) struct RunningCalls {
    calls: BTreeMap<CrashFingerprint, Vec<RunningCall>>,
}

impl RunningCalls {
    pub fn insert(&mut self, call: TrackedCall<'_>) {
        let running = self.calls.entry(call.fingerprint).or_default();
        running.push(RunningCall {
            stage: call.stage,
            target: call.target.to_string(),
            struck: false,
        });
    }

    /// Takes the call out; true if another copy has struck for the death of its target.
    pub fn remove(&mut self, call: TrackedCall<'_>) -> bool {
        let Some(running) = self.calls.get_mut(&call.fingerprint) else {
            return false;
        };
        let same = |row: &RunningCall| row.stage == call.stage && row.target == call.target;
        let struck = running.iter().position(|row| same(row) && row.struck);
        let place = struck.or_else(|| running.iter().position(same));
        if let Some(place) = place {
            running.swap_remove(place);
        }
        if running.is_empty() {
            self.calls.remove(&call.fingerprint);
        }
        struck.is_some()
    }

    /// Notes that the copies of the request on a target that died share one strike.
    pub fn mark_struck(&mut self, call: TrackedCall<'_>) {
        let running = self.calls.get_mut(&call.fingerprint).into_iter().flatten();
        for row in running.filter(|row| row.target == call.target) {
            row.struck = true;
        }
    }

    /// Targets that the request runs on, other than this one.
    pub fn other_targets(&self, call: TrackedCall<'_>) -> usize {
        let running = self.calls.get(&call.fingerprint).into_iter().flatten();
        let targets: BTreeSet<&str> = running.map(|row| row.target.as_str()).collect();
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
        let runs_there = move |rows: &[RunningCall]| rows.iter().any(|row| row.target == target);
        self.calls
            .iter()
            .filter(move |(_, rows)| runs_there(rows))
            .map(|(fingerprint, _)| fingerprint)
    }
}
