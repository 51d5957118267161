use {
    crate::{
        permit::{PermitAnswer, PermitSubject, RoomLease, ask_permit},
        shared::RelayCore,
    },
    slog::debug,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Longest time for which a target gets no calls of this entry before another one asks again.
const MAX_HOLD: Duration = Duration::from_secs(120);

/// Leave to send one call to a target. Dropping it at the end of the call gives back what it holds.
#[derive(Default)]
pub struct CallPass {
    /// Place at a brittle target; `None` if the target is not.
    room: Option<RoomLease>,
}

impl CallPass {
    /// Records that the target has turned the call away.
    pub fn set_refused(&mut self) {
        if let Some(room) = &mut self.room {
            room.set_refused();
        }
    }
}

/// Asks for a call to the target if it has named a limit, is cold or brittle. `None` if there is none left
/// now; the target then gets no calls of this entry for a while.
pub async fn pass_limit(core: &Rc<RelayCore>, target: &str) -> Option<CallPass> {
    if let Some(notice) = core.target_limit(target)
        && let PermitAnswer::Denied { retry_in } =
            ask_permit(core, PermitSubject::Call { notice }).await
    {
        turn_away(core, target, retry_in);
        return None;
    }
    let cold_interval = core.state.borrow().cold_interval(target, Instant::now());
    if let Some(interval) = cold_interval
        && let PermitAnswer::Denied { retry_in } = ask_cold(core, target, interval).await
    {
        core.metrics.cold_calls_denied.inc();
        turn_away(core, target, retry_in);
        return None;
    }
    let Some(slots) = core.brittle_slots(target) else {
        return Some(CallPass::default());
    };
    match RoomLease::ask(core, target, slots).await {
        Ok(room) => Some(CallPass { room: Some(room) }),
        Err(retry_in) => {
            turn_away(core, target, retry_in);
            None
        }
    }
}

/// Asks for one of the calls that a cold target takes.
async fn ask_cold(core: &RelayCore, target: &str, interval: Duration) -> PermitAnswer {
    let target = target.to_string();
    ask_permit(core, PermitSubject::Cold { target, interval }).await
}

fn turn_away(core: &RelayCore, target: &str, retry_in: Duration) {
    core.metrics.limited_calls.inc();
    debug!(core.log, "call turned away by a limit"; "target" => target,
        "retry_ms" => retry_in.as_millis() as u64);
    let retry_in = retry_in.min(MAX_HOLD);
    core.hold_target(target, Some(Instant::now() + retry_in));
}
