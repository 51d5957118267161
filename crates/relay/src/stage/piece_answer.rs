use {
    crate::{
        dialect::{HeaderList, ReplyOwner, WireFault},
        shared::RelayCore,
        target::WholeReply,
    },
    piece::PieceOutcome,
    rand::Rng,
};

/// Status of the answer to a call that the target has worked on.
const WORKED_STATUS: u16 = 200;

/// Returns an id for a call for pieces or a release of results.
pub fn new_call_id(core: &RelayCore) -> String {
    let number: u64 = core.random.borrow_mut().random();
    format!("{number:016x}")
}

/// Returns true if an answer names another call.
pub fn is_foreign(core: &RelayCore, call_id: &str, reply: &WholeReply) -> bool {
    let owner = core.dialects.target.read_owner(call_id, &reply.headers);
    owner == ReplyOwner::AnotherCall
}

/// Returns the headers of the answer to a call for pieces, and the outcomes of the pieces; `None` if
/// the target refused the call. The connection is kept if a second copy of the answer would be known.
///
/// # Errors
///
/// Fails if the answer is malformed or may give the call the results of another. One that names no
/// call does not if it has no results, if the connection has carried no other call, or if no earlier
/// answer had its results.
pub fn read_piece_answer(
    core: &RelayCore,
    call_id: &str,
    count: usize,
    mut reply: WholeReply,
) -> Result<(HeaderList, Option<Vec<PieceOutcome>>), WireFault> {
    let target = &core.dialects.target;
    let outcomes = match reply.status {
        WORKED_STATUS => Some(target.read_pieces(&reply.body, count)?),
        _ => None,
    };
    let made_results: Vec<&str> = outcomes.iter().flatten().filter_map(made_result).collect();
    let has_results = !made_results.is_empty();
    let is_new = reply.is_on_new_connection();
    let (is_own, is_kept) = match target.read_owner(call_id, &reply.headers) {
        ReplyOwner::ThisCall => (true, true),
        ReplyOwner::AnotherCall => (false, false),
        ReplyOwner::Unnamed => {
            let are_new = reply.add_marks(made_results);
            // Without results it costs at most pieces that are made again.
            (is_new || !has_results || are_new, has_results)
        }
    };
    if !is_own {
        let text = "it may be the answer to another call";
        return Err(WireFault::Malformed(text.to_string()));
    }
    let headers = std::mem::take(&mut reply.headers);
    if is_kept {
        reply.keep_connection();
    }
    Ok((headers, outcomes))
}

fn made_result(outcome: &PieceOutcome) -> Option<&str> {
    match outcome {
        PieceOutcome::Made(name) => Some(name),
        _ => None,
    }
}
