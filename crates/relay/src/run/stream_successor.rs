use {
    crate::{
        dialect::RelayRefusal,
        run::{
            relay_run::RelayRun,
            send_next::{SendAnswer, SendFailure, send_next},
            stream_reader::StreamType,
        },
        target::CallReply,
    },
    retry::SendFault,
    route::ServiceOutcome,
};

/// Sends a request for the rest of a stream, after the event with this id, until a target goes on with it: an
/// answer of another media type than the stream's is none of it.
///
/// # Errors
///
/// Returns the refusal if none does.
pub async fn find_successor(
    run: &mut RelayRun,
    last_id: Option<&str>,
    stream_type: &StreamType,
) -> Result<SendAnswer, RelayRefusal> {
    let due = run.draft.deadline;
    loop {
        let failure = match send_next(run, due, last_id).await? {
            Ok(SendAnswer { source, reply }) if goes_on(&reply, stream_type) => {
                return Ok(SendAnswer { source, reply });
            }
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

fn goes_on(reply: &CallReply, stream_type: &StreamType) -> bool {
    (200..300).contains(&reply.status) && stream_type.accepts(reply)
}
