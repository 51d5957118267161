use {
    crate::{
        caller::RelayDraft,
        origin::OriginFrame,
        shared::RelayCore,
        stage::{OwnerLink, PeerMessage},
    },
    board::rank_holders,
    route::{AttemptKey, StreamOrigin, attempt_key},
    slog::debug,
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Number of other entries that remember where a stream began.
pub(super) const HOLDER_COUNT: usize = 3;
/// Time after its deadline for which it is remembered where a stream began, for callers that come
/// back late.
const KEEP_MARGIN: Duration = Duration::from_secs(5);

/// Returns where the stream of a request began, with the version in doubt.
pub fn stream_origin(draft: &RelayDraft) -> StreamOrigin {
    StreamOrigin {
        attempt: draft_attempt(draft),
        service: draft.service.clone(),
        version: None,
        keep: draft.time_left(Instant::now()) + KEEP_MARGIN,
    }
}

/// Remembers where a stream began, here and at a few other entries.
///
/// Nobody waits for them: a caller who comes back where none of them is reached is refused.
pub fn tell_origin(core: &RelayCore, origin: StreamOrigin) {
    let now = Instant::now();
    for link in holder_links(core, origin.attempt, HOLDER_COUNT, now) {
        link.send(PeerMessage::Origin(OriginFrame::Tell(origin.clone())));
    }
    debug!(core.log, "stream began"; "attempt" => origin.attempt, "version" => &origin.version);
    core.origins.borrow_mut().record(&origin, now);
}

/// Returns the key of the caller's try that brought the first event: an earlier one if the request
/// resumes a stream.
pub(super) fn draft_attempt(draft: &RelayDraft) -> AttemptKey {
    let head = &draft.head;
    let attempt = head.resumes.as_ref().unwrap_or(&head.request_id);
    attempt_key(&head.host, head.path_without_query(), attempt)
}

/// Returns connections to the entries that come first among those that remember a stream.
pub(super) fn holder_links(
    core: &RelayCore,
    attempt: AttemptKey,
    max_links: usize,
    now: Instant,
) -> Vec<Rc<OwnerLink>> {
    let hosts = core.hosts.borrow();
    let key = format!("stream/{attempt:016x}");
    let ranked = rank_holders(&key, hosts.holder_hosts(now));
    let links = ranked.into_iter();
    let links = links.filter_map(|record| core.batch_service.peer_link(core, &record.host, now));
    links.take(max_links).collect()
}
