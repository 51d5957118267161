use {
    crate::{
        origin::{stream_origin, tell_origin},
        run::{answer_source::AnswerSource, relay_run::RelayRun},
    },
    actix_rt::task::JoinHandle,
    futures_util::FutureExt,
    plan::{RepeatRule, SoftwareVersion},
    route::VersionRule,
    slog::info,
    std::rc::Rc,
};

/// A stream whose first event has arrived and whose target is being proven.
///
/// No event waits for that.
pub struct VersionBond {
    proving: JoinHandle<Option<SoftwareVersion>>,
}

impl VersionBond {
    /// Begins to bind a stream to the version that brought its first event, and to have other entries
    /// remember it, or that it is in doubt: they may know of one version only.
    pub fn begin(run: &mut RelayRun, source: &AnswerSource) -> Option<Self> {
        if run.draft.rule.repeat != RepeatRule::Resumable {
            return None;
        }
        run.draft.versions = VersionRule::Nowhere;
        // Another entry that calls the target binds and tells it.
        let slot = source.slot()?;
        let (core, proof) = (Rc::clone(&run.core), Rc::clone(&slot.proof));
        let mut origin = stream_origin(&run.draft);
        let proving = actix_rt::spawn(async move {
            let version = proof.proven_version().await;
            origin.version.clone_from(&version);
            tell_origin(&core, origin);
            version
        });
        Some(Self { proving })
    }

    /// Binds the stream once its target is proven.
    pub async fn settle(self, run: &mut RelayRun) {
        // A task that has panicked proves nothing.
        let version = self.proving.await.ok().flatten();
        run.draft.versions = VersionRule::begun_at(version);
    }

    /// Binds the stream if its target is proven already; returns the bond otherwise.
    pub fn settle_now(self, run: &mut RelayRun) -> Option<Self> {
        if !self.proving.is_finished() {
            return Some(self);
        }
        self.settle(run).now_or_never();
        None
    }
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
    tell_origin(&run.core, stream_origin(&run.draft));
    run.draft.versions = VersionRule::Nowhere;
}
