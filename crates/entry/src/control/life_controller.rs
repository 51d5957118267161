use {
    crate::{
        control::{ControlState, MemberController},
        shared::EntryLife,
    },
    slog::info,
    std::{rc::Rc, time::Duration},
};

/// Time that callers may take to use an answer after it has run out.
const ANSWER_SLACK: Duration = Duration::from_secs(1);

/// Takes the daemon through its shutdown: it leaves every new answer, serves those who hold an
/// older one for as long as it may be kept, and then refuses.
pub async fn run_life(state: Rc<ControlState>, members: Rc<MemberController>) {
    state.draining.notified().await;
    members.set_leaving();
    info!(state.log, "leaving"; "keep" => format!("{:?}", state.settings.answers.keep));
    actix_rt::time::sleep(state.settings.answers.keep + ANSWER_SLACK).await;
    advance(&state, EntryLife::Refusing);
    actix_rt::time::sleep(state.settings.shutdown.limit).await;
    advance(&state, EntryLife::Stopping);
}

/// Moves on to a later part of the shutdown.
pub fn advance(state: &ControlState, life: EntryLife) {
    state.change(|view| view.life = view.life.max(life));
    info!(state.log, "shutdown"; "life" => format!("{life:?}"));
}
