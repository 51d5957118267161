use {
    crate::{
        control::{ControlState, MemberController},
        shared::EntryPhase,
    },
    slog::info,
    std::{rc::Rc, time::Duration},
};

/// Time after the expiry of an address answer in which callers that still use it are served.
const ANSWER_GRACE: Duration = Duration::from_secs(1);

/// Runs the shutdown once it has started. New address answers no longer contain this entry, but
/// callers may keep older ones for `answers.keep`; requests are refused only after that time.
pub async fn run_shutdown(state: Rc<ControlState>, members: Rc<MemberController>) {
    state.drain_started.notified().await;
    members.set_leaving();
    info!(state.log, "leaving"; "keep" => format!("{:?}", state.settings.answers.keep));
    actix_rt::time::sleep(state.settings.answers.keep + ANSWER_GRACE).await;
    enter_phase(&state, EntryPhase::Refusing);
    actix_rt::time::sleep(state.settings.shutdown.limit).await;
    enter_phase(&state, EntryPhase::Stopping);
}

/// Enters a phase of the shutdown, unless a later one is reached already.
pub fn enter_phase(state: &ControlState, phase: EntryPhase) {
    state.update_view(|view| view.phase = view.phase.max(phase));
    info!(state.log, "shutdown"; "life" => format!("{phase:?}"));
}
