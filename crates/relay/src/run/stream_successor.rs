use {
    crate::{
        dialect::RelayRefusal,
        run::{
            relay_run::RelayRun,
            send_next::{SendAnswer, SendFailure, send_next},
        },
    },
    retry::SendFault,
    route::ServiceOutcome,
};

/// Sends a request for the rest of a stream, after the event with this id, until a target goes on with it.
///
/// # Errors
///
/// Returns the refusal if none does.
pub async fn find_successor(
    run: &mut RelayRun,
    last_id: Option<&str>,
) -> Result<SendAnswer, RelayRefusal> {
    let due = run.draft.deadline;
    loop {
        let failure = match send_next(run, due, last_id).await? {
            Ok(answer) if (200..300).contains(&answer.reply.status) => return Ok(answer),
            Ok(SendAnswer { mut source, .. }) => {
                source.set_outcome(ServiceOutcome::Failed);
                SendFailure {
                    place: source.name().to_string(),
                    fault: SendFault::Failed,
                }
            }
            Err(failure) => failure,
        };
        run.on_fault(&failure.place, failure.fault)?;
    }
}
