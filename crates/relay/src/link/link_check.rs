use {
    crate::{
        hop::must_hand_over,
        shared::RelayCore,
        target::{CallFault, CheckOutcome},
    },
    futures_util::future::join_all,
    route::{LinkChange, pick_checks},
    slog::{info, warn},
    std::{
        future::Future,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Maximum number of targets that are called in one check.
const MAX_CHECKS: usize = 4;
/// Time within which a checked target must answer.
const CHECK_TIMEOUT: Duration = Duration::from_millis(600);

/// Time without an answer after which a target counts as silent.
const SILENCE_TIME: Duration = Duration::from_millis(1_000);
/// Interval of checks whether a target is silent.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Whether a call may be made again if it has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallRepeat {
    Never,
    /// By this entry, at another target.
    Here,
    /// Also by another entry.
    Elsewhere,
}

/// What is done about a call whose target is silent.
#[derive(Clone, Copy)]
pub struct SilenceRule<'a> {
    pub repeat: CallRepeat,
    /// Returns true if the call may be made again now, and could be; else its target is waited for.
    pub may_leave: &'a dyn Fn() -> bool,
}

/// Records that a call to a target failed, which may be a fault of this entry's own links.
pub fn record_call_fault(core: &RelayCore, target: &str, fault: &CallFault) {
    match fault {
        CallFault::NotSent(_) | CallFault::Broken(_) => {}
        // The target has begun to answer, or has had the call for long.
        CallFault::TimedOut | CallFault::TooLong => return,
    }
    let now = Instant::now();
    let mut link = core.link.borrow_mut();
    link.record_unreached(target, now);
    if link.is_check_due(now) {
        core.link_doubted.notify_one();
    }
}

/// Waits for the answer to a call. If the call may be made again, gives up once the target is silent to
/// a check as well; if it may also be made by another entry, once the links to all targets are lost.
/// While it may not, a silent target is waited for: it may go on.
///
/// The socket itself waits long, so that a sound target which falls silent for a second or two loses
/// no call that may not be repeated.
pub async fn await_answer<T>(
    core: &RelayCore,
    target: &str,
    address: SocketAddr,
    rule: SilenceRule<'_>,
    answering: impl Future<Output = Result<T, CallFault>>,
) -> Result<T, CallFault> {
    let called_at = Instant::now();
    tokio::pin!(answering);
    loop {
        tokio::select! {
            answer = &mut answering => return answer,
            () = actix_rt::time::sleep(SILENCE_CHECK_INTERVAL) => {}
        }
        let now = Instant::now();
        let is_long = now.saturating_duration_since(called_at) >= SILENCE_TIME;
        if is_long {
            record_silence(core, target, called_at, now);
        }
        if rule.repeat == CallRepeat::Never {
            continue;
        }
        let is_lost = !core.link.borrow().has_reached_since(called_at) && must_hand_over(core);
        if is_lost && rule.repeat == CallRepeat::Elsewhere && (rule.may_leave)() {
            return Err(CallFault::Broken(String::from("links to targets lost")));
        }
        if is_long {
            tokio::select! {
                answer = &mut answering => return answer,
                is_silent = core.target_checks.is_silent(core, target, address) => {
                    if is_silent && (rule.may_leave)() {
                        return Err(CallFault::Broken(String::from("target is silent")));
                    }
                }
            }
        }
    }
}

fn record_silence(core: &RelayCore, target: &str, called_at: Instant, now: Instant) {
    let mut link = core.link.borrow_mut();
    link.record_silence(target, called_at, now);
    if link.is_check_due(now) {
        core.link_doubted.notify_one();
    }
}

/// Returns true if this entry has reached a target since the given time, or reaches one now. What
/// failed since then is a fault of a target only in this case.
pub async fn is_link_sound(core: &RelayCore, since: Instant) -> bool {
    // One check answers all who wait for it.
    let _checking = core.link_checking.lock().await;
    let is_known = {
        let link = core.link.borrow();
        link.is_lost() || link.has_reached_since(since)
    };
    if !is_known {
        check_link(core).await;
    }
    core.link.borrow().has_reached_since(since)
}

/// Calls a few targets on new connections and records whether they answer.
pub(super) async fn check_link(core: &RelayCore) {
    let addresses = {
        let state = core.state.borrow();
        let link = core.link.borrow();
        let avoided: Vec<&str> = link.unreached().collect();
        let is_wanted = |target: &str| {
            let may_call = core.may_check(target);
            may_call && (link.is_lost() || !avoided.contains(&target))
        };
        let mut random = core.random.borrow_mut();
        pick_checks(&state.targets, is_wanted, MAX_CHECKS, &mut *random)
    };
    let started = Instant::now();
    let checks = addresses.iter().map(|address| {
        let call = core.dialects.target.write_check();
        core.connections.check(*address, call, CHECK_TIMEOUT)
    });
    let answers = join_all(checks).await;
    let is_answered = |answer: &&CheckOutcome| matches!(answer, CheckOutcome::Answered(_));
    let reached = answers.iter().filter(is_answered).count();
    let now = Instant::now();
    if now.saturating_duration_since(started) > CHECK_TIMEOUT * 2 {
        // This process has stood still, so the answers may just not have been read.
        return;
    }
    let change = core
        .link
        .borrow_mut()
        .record_check(reached, answers.len(), now);
    core.metrics.link_checks.inc_by(answers.len() as u64);
    info!(core.log, "links to targets checked"; "checked" => answers.len(), "reached" => reached);
    match change {
        Some(LinkChange::Lost) => {
            core.metrics.link_losses.inc();
            let link = core.link.borrow();
            let unreached: Vec<&str> = link.unreached().collect();
            warn!(core.log, "links to targets lost"; "unreached" => unreached.join(","),
                "checked" => answers.len());
        }
        Some(LinkChange::Regained { after }) => {
            info!(core.log, "links to targets regained"; "reached" => reached,
                "checked" => answers.len(), "after_ms" => after.as_millis() as u64);
            for pool in core.pools.borrow_mut().values_mut() {
                pool.forget_losses();
            }
        }
        None => {}
    }
}
