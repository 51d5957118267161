use {
    crate::{link::is_link_sound, shared::RelayCore, target::CheckOutcome},
    std::{
        cell::RefCell,
        collections::HashMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time within which a checked target must answer.
const CHECK_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for which the result of a check counts for all calls to the target.
const RESULT_AGE: Duration = Duration::from_millis(800);

/// What the last check of a target showed.
#[derive(Debug, Clone, Copy)]
struct CheckResult {
    started: Instant,
    /// False also while the check runs.
    is_silent: bool,
}

/// Checks of single targets that have left calls without an answer, by the id of the target.
#[derive(Debug, Default)]
pub struct TargetChecks {
    results: RefCell<HashMap<String, CheckResult>>,
}

impl TargetChecks {
    /// Returns true if a target is silent to a call on a new connection, although other targets
    /// answer. Calls to it that may be repeated need not wait any longer then. A target that refuses
    /// the connection is full, and still works on the calls that it has.
    pub async fn is_silent(&self, core: &RelayCore, target: &str, address: SocketAddr) -> bool {
        if !core.may_check(target) {
            return false;
        }
        let started = Instant::now();
        if let Some(known) = self.recent(target, started) {
            return known.is_silent;
        }
        self.set(target, started, false);
        let call = core.dialects.target.write_check();
        let answering = core.connections.check(address, call, CHECK_TIMEOUT);
        let is_silent =
            answering.await == CheckOutcome::Silent && is_link_sound(core, started).await;
        core.metrics.link_checks.inc();
        self.set(target, started, is_silent);
        is_silent
    }

    fn recent(&self, target: &str, now: Instant) -> Option<CheckResult> {
        let known = self.results.borrow().get(target).copied();
        known.filter(|known| {
            let age = now.saturating_duration_since(known.started);
            age < RESULT_AGE + CHECK_TIMEOUT
        })
    }

    fn set(&self, target: &str, started: Instant, is_silent: bool) {
        let mut results = self.results.borrow_mut();
        results
            .retain(|_, known| started.saturating_duration_since(known.started) < RESULT_AGE * 4);
        let result = CheckResult { started, is_silent };
        results.insert(target.to_string(), result);
    }
}
