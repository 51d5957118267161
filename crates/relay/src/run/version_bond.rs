use {
    crate::{
        origin::tell_origin,
        run::{answer_source::AnswerSource, relay_run::RelayRun},
    },
    plan::RepeatRule,
    route::VersionRule,
    slog::info,
};

/// Binds a stream whose first event has arrived to the version that brought it, and has other entries
/// remember it, or that it is in doubt: they may know of one version only.
pub async fn bind_version(run: &mut RelayRun, source: &AnswerSource) {
    if run.draft.rule.repeat != RepeatRule::Resumable {
        return;
    }
    let Some(slot) = source.slot() else {
        // The entry that calls the target binds and tells it.
        run.draft.versions = VersionRule::Nowhere;
        return;
    };
    let version = slot.proven_version().await;
    run.draft.versions = VersionRule::begun_at(version.clone());
    tell_origin(&run.core, &run.draft, version);
}

/// Binds a stream to no version any more if the list of targets names another process by now: the
/// one that answers may be either.
pub fn check_version(run: &mut RelayRun, source: &AnswerSource) {
    let VersionRule::Only(bound) = &run.draft.versions else {
        return;
    };
    let slot = source.slot().filter(|slot| slot.is_replaced());
    let Some(slot) = slot else {
        return;
    };
    info!(run.core.log, "version of a stream is in doubt";
        "request" => &run.draft.head.request_id, "bound" => bound, "target" => slot.target());
    tell_origin(&run.core, &run.draft, None);
    run.draft.versions = VersionRule::Nowhere;
}
