use {
    crate::{
        caller::RelayDraft,
        dialect::RelayRefusal,
        origin::{
            confirm_list::confirm_list,
            find_origin::{FoundOrigin, OriginSearch, find_origin},
            tell_origin::draft_attempt,
        },
        shared::RelayCore,
    },
    base::FailureReason,
    plan::{RepeatRule, SoftwareVersion},
    route::VersionRule,
    slog::info,
    std::time::{Duration, Instant},
};

/// A stream is no older than this multiple of its route's time-out, over all tries of its caller.
const STREAM_AGE_FACTOR: u32 = 2;
/// Time after which a caller should ask again, at an entry that may know more.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Added to the age of a stream, for callers that come back late.
const STREAM_AGE_MARGIN: Duration = Duration::from_secs(5);

/// Binds a request for the rest of a stream to the version that began it.
///
/// # Errors
///
/// Refuses the request at once if that version is not known or no target of it takes calls.
pub async fn bind_resumption(core: &RelayCore, draft: &mut RelayDraft) -> Result<(), RelayRefusal> {
    if draft.rule.repeat != RepeatRule::Resumable || !draft.head.is_resumption() {
        return Ok(());
    }
    core.metrics.resumptions.inc();
    info!(core.log, "caller resumes stream"; "request" => &draft.head.request_id,
        "resumes" => &draft.head.resumes, "after" => &draft.head.last_event_id);
    let known = find_version(core, draft).await?;
    info!(core.log, "stream bound to version"; "request" => &draft.head.request_id,
        "version" => &known.version, "known_by" => known.known_by);
    draft.versions = VersionRule::Only(known.version);
    let pools = core.pools.borrow();
    let pool = pools.get(&draft.service);
    match pool.is_some_and(|pool| pool.has_version(&draft.versions, Instant::now())) {
        true => Ok(()),
        false => Err(refusal(
            core,
            "no target of the version that began the stream",
        )),
    }
}

/// The version that began a stream.
struct KnownVersion {
    version: SoftwareVersion,
    /// Host that remembered it, or that it is the only one.
    known_by: String,
}

/// Returns the version that began the stream.
async fn find_version(
    core: &RelayCore,
    draft: &mut RelayDraft,
) -> Result<KnownVersion, RelayRefusal> {
    if draft.head.resumes.is_some() {
        match find_origin(core, draft_attempt(draft)).await {
            OriginSearch::Found(found) => return accept_origin(core, draft, found),
            OriginSearch::Unknown => {}
            OriginSearch::Unanswered => {
                let detail = "the entries that may know the version do not answer";
                return Err(refusal(core, detail).retry_after(RETRY_DELAY));
            }
        }
    }
    if sole_version(core, draft).is_none() {
        let detail = "the version that began the stream is not known";
        return Err(refusal(core, detail));
    }
    if !confirm_list(core).await {
        let detail = "the store does not confirm that there is only one version";
        return Err(refusal(core, detail).retry_after(RETRY_DELAY));
    }
    match sole_version(core, draft) {
        Some(version) => Ok(KnownVersion {
            version,
            known_by: String::from("the only version"),
        }),
        None => Err(refusal(core, "there is another version by now")),
    }
}

/// Returns the version that an entry remembers, and has the request go to the service that began the
/// stream.
fn accept_origin(
    core: &RelayCore,
    draft: &mut RelayDraft,
    found: FoundOrigin,
) -> Result<KnownVersion, RelayRefusal> {
    let origin = found.origin;
    let Some(version) = origin.version else {
        let detail = "the version that began the stream is in doubt";
        return Err(refusal(core, detail));
    };
    let mut services = draft.rule.split.iter().map(|(service, _)| service);
    if !services.any(|service| *service == origin.service) {
        let detail = "the service that began the stream no longer has its route";
        return Err(refusal(core, detail));
    }
    draft.service = origin.service;
    Ok(KnownVersion {
        version,
        known_by: found.holder,
    })
}

/// Returns the version that the targets of the request's service have all had for longer than any
/// stream lasts, as far as this entry knows their list.
fn sole_version(core: &RelayCore, draft: &RelayDraft) -> Option<SoftwareVersion> {
    let has_one_service = draft.rule.split.len() == 1;
    if !has_one_service || !core.can_reject_unknown() {
        return None;
    }
    let timeout = draft
        .rule
        .timeout
        .max(draft.head.timeout.unwrap_or_default());
    let max_age = timeout * STREAM_AGE_FACTOR + STREAM_AGE_MARGIN;
    let history = core.version_history.borrow();
    let version = history.sole_version(&draft.service, max_age, Instant::now());
    version.map(String::from)
}

/// Coming back does not help, unless the refusal says so: the caller has to begin anew.
fn refusal(core: &RelayCore, detail: &str) -> RelayRefusal {
    core.metrics.resumptions_refused.inc();
    RelayRefusal::not_run(FailureReason::VersionLost, detail)
}
