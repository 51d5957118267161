use {
    crate::{link::CHECK_TIMEOUT, shared::RelayCore},
    std::{
        cell::RefCell,
        collections::HashMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time for which the result of a check counts for all calls to the target.
const RESULT_AGE: Duration = Duration::from_millis(800);

/// What the last check of a target showed.
#[derive(Debug, Clone, Copy)]
struct CheckResult {
    started: Instant,
    /// `None` while the check runs.
    is_answered: Option<bool>,
}

/// Checks of single targets that have left calls without an answer, by the id of the target.
#[derive(Debug, Default)]
pub struct TargetChecks {
    results: RefCell<HashMap<String, CheckResult>>,
}

impl TargetChecks {
    /// Returns true if a target does not answer a call on a new connection, although other targets
    /// do. Calls to it that may be repeated need not wait any longer then.
    pub async fn is_silent(&self, core: &RelayCore, target: &str, address: SocketAddr) -> bool {
        if !core.may_check(target) {
            return false;
        }
        let started = Instant::now();
        if let Some(known) = self.recent(target, started) {
            return known.is_answered == Some(false);
        }
        self.set(target, started, None);
        let call = core.dialects.target.write_check();
        let answering = core.connections.check(address, call, CHECK_TIMEOUT);
        let is_answered = answering.await.is_some() || !super::is_link_sound(core, started).await;
        core.metrics.link_checks.inc();
        self.set(target, started, Some(is_answered));
        !is_answered
    }

    fn recent(&self, target: &str, now: Instant) -> Option<CheckResult> {
        let known = self.results.borrow().get(target).copied();
        known.filter(|known| {
            let age = now.saturating_duration_since(known.started);
            age < RESULT_AGE + CHECK_TIMEOUT
        })
    }

    fn set(&self, target: &str, started: Instant, is_answered: Option<bool>) {
        let mut results = self.results.borrow_mut();
        results
            .retain(|_, known| started.saturating_duration_since(known.started) < RESULT_AGE * 4);
        let result = CheckResult {
            started,
            is_answered,
        };
        results.insert(target.to_string(), result);
    }
}
