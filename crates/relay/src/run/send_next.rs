use {
    crate::{
        dialect::RelayRefusal,
        hop::{HopSlot, send_hop, until_hop},
        link::is_link_sound,
        origin::find_draft_origin,
        run::{
            answer_source::AnswerSource,
            call_slot::CallSlot,
            relay_run::{RETRY_DELAY, RelayRun},
            send_once::send_once,
        },
        target::CallReply,
    },
    base::FailureReason,
    retry::SendFault,
    route::{ServiceOutcome, VersionRule},
    std::{future::Future, rc::Rc, time::Instant},
};

/// An answer whose head has arrived.
pub struct SendAnswer {
    pub source: AnswerSource,
    pub reply: CallReply,
}

/// A send without an answer.
pub struct SendFailure {
    /// Target or other entry that the request was sent to.
    pub place: String,
    pub fault: SendFault,
}

/// Outcome of one send of a request.
pub type SendEnd = Result<SendAnswer, SendFailure>;

/// Sends a request once and waits until `due` for the head of its answer: to another entry if this
/// one has no links to targets, otherwise to a target, after its stages.
///
/// If a stream is resumed, `last_event_id` is the id of the last event that the caller has.
///
/// # Errors
///
/// Refuses the request if it cannot be sent, or if there is no answer in time.
pub async fn send_next(
    run: &mut RelayRun,
    due: Instant,
    last_event_id: Option<&str>,
) -> Result<SendEnd, RelayRefusal> {
    if let Some(lost_at) = run.unproven_loss.take() {
        // The next send may be the last that is allowed.
        is_link_sound(&run.core, lost_at).await;
    }
    if let Some(slot) = run.take_hop() {
        return hand_over(run, slot, due, last_event_id).await;
    }
    let refusal = match send_to_target(run, due, last_event_id).await {
        Err(refusal) => refusal,
        end => return end,
    };
    // The links may have been lost in the meantime.
    let slot = run.take_hop().filter(|_| Instant::now() < due);
    match slot {
        Some(slot) => hand_over(run, slot, due, last_event_id).await,
        None => Err(refusal),
    }
}

async fn send_to_target(
    run: &mut RelayRun,
    due: Instant,
    last_event_id: Option<&str>,
) -> Result<SendEnd, RelayRefusal> {
    if last_event_id.is_some() && run.draft.versions == VersionRule::Nowhere {
        // Another entry has begun the stream.
        let origin = find_draft_origin(&run.core, &run.draft).await;
        run.draft.versions = VersionRule::begun_at(origin.and_then(|origin| origin.version));
    }
    run_stages(run, due).await?;
    let (mut slot, pick) = run.take_slot().await?;
    let sending = send_once(run, &mut slot, &pick, last_event_id);
    let result = until_due(run, due, sending).await;
    if result.is_err() {
        slot.set_outcome(ServiceOutcome::Failed);
    }
    let mut result = result?;
    let is_bound = run.draft.versions != VersionRule::Any;
    if is_bound && result.is_ok() && !is_bound_version(run, &slot).await {
        slot.set_outcome(ServiceOutcome::Cancelled);
        result = Err(SendFault::Garbled);
    }
    Ok(send_end(result, AnswerSource::Target(Box::new(slot))))
}

/// Returns true if the target that goes on with a stream is at the version that began it, and not a
/// process of which the list of targets does not know yet.
async fn is_bound_version(run: &RelayRun, slot: &CallSlot) -> bool {
    let version = slot.proof.proven_version().await;
    run.draft.versions.accepts(version.as_deref())
}

/// Runs the stages of a request unless it has to be handed over meanwhile.
async fn run_stages(run: &mut RelayRun, due: Instant) -> Result<(), RelayRefusal> {
    let (core, is_hop) = (Rc::clone(&run.core), run.draft.is_hop);
    let result = tokio::select! {
        result = tokio::time::timeout_at(due.into(), run.run_stages()) => result,
        () = until_hop(&core, is_hop) => {
            let detail = "links to targets lost";
            let refusal = RelayRefusal::not_run(FailureReason::NoTarget, detail);
            return Err(run.with_verdict(refusal.retry_after(RETRY_DELAY)));
        }
    };
    match result {
        Ok(result) => result,
        Err(_) => Err(run.deadline_refusal(false)),
    }
}

async fn hand_over(
    run: &RelayRun,
    slot: HopSlot,
    due: Instant,
    last_event_id: Option<&str>,
) -> Result<SendEnd, RelayRefusal> {
    let sending = send_hop(run, &slot, last_event_id);
    let result = until_due(run, due, sending).await?;
    Ok(send_end(result, AnswerSource::Peer(slot)))
}

/// Returns the output of a send, or the refusal of the request if it takes too long.
async fn until_due<T>(
    run: &RelayRun,
    due: Instant,
    sending: impl Future<Output = T>,
) -> Result<T, RelayRefusal> {
    let result = tokio::time::timeout_at(due.into(), sending).await;
    result.map_err(|_| run.deadline_refusal(true))
}

fn send_end(result: Result<CallReply, SendFault>, source: AnswerSource) -> SendEnd {
    match result {
        Ok(reply) => Ok(SendAnswer { source, reply }),
        Err(fault) => Err(SendFailure {
            place: source.name().to_string(),
            fault,
        }),
    }
}
