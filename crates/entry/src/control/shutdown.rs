use {
    crate::{
        control::{ControlState, MemberController},
        shared::EntryPhase,
    },
    slog::info,
    std::{rc::Rc, time::Duration},
};

/// Callers that use an answer to `/addresses` are served for this time after the answer expired.
const ADDRESS_ANSWER_GRACE: Duration = Duration::from_secs(1);

/// Waits for the start of the shutdown and then runs through its phases. Callers ask for the
/// addresses of entries and may keep the answer for `answers.keep`. New answers no longer contain
/// this entry, but it refuses requests only once the older answers have expired.
pub async fn run_shutdown(state: Rc<ControlState>, members: Rc<MemberController>) {
    state.shutdown_started.notified().await;
    members.set_leaving();
    info!(state.log, "leaving"; "keep" => format!("{:?}", state.settings.answers.keep));
    actix_rt::time::sleep(state.settings.answers.keep + ADDRESS_ANSWER_GRACE).await;
    enter_phase(&state, EntryPhase::Refusing);
    actix_rt::time::sleep(state.settings.shutdown.limit).await;
    enter_phase(&state, EntryPhase::Stopping);
}

/// Enters a phase of the shutdown, unless this entry has reached a later one already.
pub fn enter_phase(state: &ControlState, phase: EntryPhase) {
    state.update_view(|view| view.phase = view.phase.max(phase));
    info!(state.log, "shutdown"; "life" => format!("{phase:?}"));
}
