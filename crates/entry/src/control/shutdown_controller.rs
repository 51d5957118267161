use {
    crate::{
        control::{ControlState, MemberController},
        shared::EntryPhase,
    },
    slog::info,
    std::{rc::Rc, time::Duration},
};

/// Time that callers may take to use an answer after it has run out.
const ANSWER_GRACE: Duration = Duration::from_secs(1);

/// Takes the daemon through its shutdown: it leaves every new answer, serves those who hold an
/// older one for as long as it may be kept, and then refuses.
pub async fn run_shutdown(state: Rc<ControlState>, members: Rc<MemberController>) {
    state.drain_started.notified().await;
    members.set_leaving();
    info!(state.log, "leaving"; "keep" => format!("{:?}", state.settings.answers.keep));
    actix_rt::time::sleep(state.settings.answers.keep + ANSWER_GRACE).await;
    enter_phase(&state, EntryPhase::Refusing);
    actix_rt::time::sleep(state.settings.shutdown.limit).await;
    enter_phase(&state, EntryPhase::Stopping);
}

/// Moves on to a later part of the shutdown.
pub fn enter_phase(state: &ControlState, phase: EntryPhase) {
    state.update_view(|view| view.phase = view.phase.max(phase));
    info!(state.log, "shutdown"; "life" => format!("{phase:?}"));
}
