use {
    crate::{CrashFingerprint, TrackedCall},
    base::{StageIndex, TargetId},
    std::collections::{BTreeMap, BTreeSet},
};

/// A call that is running.
#[derive(Debug, Clone)]
struct RunningCall {
    stage: StageIndex,
    target: TargetId,
    /// True if another call of the same request already got the strike for the target's death.
    is_struck: bool,
}

/// Calls that are running, by request.
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
            is_struck: false,
        });
    }

    /// Removes the call. Returns true if another call of the same request on the target already got
    /// the strike for the target's death.
    pub fn remove(&mut self, call: TrackedCall<'_>) -> bool {
        let Some(running) = self.calls.get_mut(&call.fingerprint) else {
            return false;
        };
        let is_same =
            |other: &RunningCall| other.stage == call.stage && other.target == call.target;
        let struck_index = running
            .iter()
            .position(|other| is_same(other) && other.is_struck);
        let index = struck_index.or_else(|| running.iter().position(is_same));
        if let Some(index) = index {
            running.swap_remove(index);
        }
        if running.is_empty() {
            self.calls.remove(&call.fingerprint);
        }
        struck_index.is_some()
    }

    /// Marks all calls of the request on a target that died, so that they get one strike together.
    pub fn mark_struck(&mut self, call: TrackedCall<'_>) {
        let running = self.calls.get_mut(&call.fingerprint).into_iter().flatten();
        for other in running.filter(|other| other.target == call.target) {
            other.is_struck = true;
        }
    }

    /// Returns the number of targets on which the request runs, other than the target of this call.
    pub fn count_other_targets(&self, call: TrackedCall<'_>) -> usize {
        let running = self.calls.get(&call.fingerprint).into_iter().flatten();
        let targets: BTreeSet<&str> = running.map(|other| other.target.as_str()).collect();
        targets
            .into_iter()
            .filter(|&target| target != call.target)
            .count()
    }

    pub fn is_running(&self, fingerprint: &CrashFingerprint) -> bool {
        self.calls.contains_key(fingerprint)
    }

    /// Returns the requests that run on the target.
    pub fn requests_on_target<'a>(
        &'a self,
        target: &'a str,
    ) -> impl Iterator<Item = &'a CrashFingerprint> {
        let runs_on_target =
            move |calls: &[RunningCall]| calls.iter().any(|call| call.target == target);
        self.calls
            .iter()
            .filter(move |(_, calls)| runs_on_target(calls))
            .map(|(fingerprint, _)| fingerprint)
    }
}
