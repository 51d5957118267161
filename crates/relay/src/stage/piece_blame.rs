use {
    crate::{
        caller::RelayDraft,
        link::is_link_sound,
        shared::{RelayCore, part_name},
        stage::BatchService,
    },
    piece::{JobId, PieceInput, PieceWork},
    retry::{CrashFingerprint, PartKey, PartVerdict, fingerprint, request_key},
    setup::is_process_gone,
    slog::info,
    std::{
        collections::BTreeSet,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Time after which a crash of a target that has lost a call is no longer laid to the call's pieces.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns a hash of the input that a caller gave for the pieces of a stage, by which they are recognised
/// when they come again in other requests.
fn input_fingerprint(stage: u16, key: &str) -> CrashFingerprint {
    fingerprint("piece", &stage.to_string(), key.as_bytes())
}

/// Returns the keys of what a caller gave for the pieces of a request. Those that are made of other
/// pieces have none.
pub fn input_keys(draft: &RelayDraft) -> Vec<PartKey> {
    let Some(key) = draft.head.piece_key.as_deref() else {
        return Vec::new();
    };
    let stages = (0..).zip(&draft.rule.stages);
    let first_stages = stages.filter(|(_, rule)| rule.after.is_empty());
    first_stages
        .map(|(stage, _)| request_key(&input_fingerprint(stage, key)))
        .collect()
}

fn work_fingerprint(work: &PieceWork) -> Option<CrashFingerprint> {
    match &work.input {
        PieceInput::Key(key) if !key.is_empty() => Some(input_fingerprint(work.stage, key)),
        PieceInput::Key(_) | PieceInput::Results(_) => None,
    }
}

/// Returns the inputs of a call, without duplicates.
fn work_fingerprints<'a>(
    work: impl IntoIterator<Item = &'a PieceWork>,
) -> BTreeSet<CrashFingerprint> {
    work.into_iter().filter_map(work_fingerprint).collect()
}

/// Which inputs crash the targets that make pieces of them.
impl BatchService {
    /// Returns the jobs of a call whose inputs are suspect; they are not to be sent to another target.
    pub(super) fn suspect_jobs(core: &RelayCore, work: &[PieceWork]) -> BTreeSet<JobId> {
        let parts = core.parts.borrow();
        if !parts.has_suspects() {
            return BTreeSet::new();
        }
        let now = Instant::now();
        let is_suspect = |piece: &&PieceWork| {
            let key = work_fingerprint(piece).map(|input| request_key(&input));
            key.is_some_and(|key| parts.verdict(&[key], now) != PartVerdict::Clear)
        };
        work.iter()
            .filter(is_suspect)
            .map(|piece| piece.job)
            .collect()
    }

    /// Records that a target has made these pieces, which clears their inputs of crashes.
    pub(super) fn record_made<'a>(core: &RelayCore, made: impl IntoIterator<Item = &'a PieceWork>) {
        let is_accused_any = core.parts.borrow().has_accused();
        if is_accused_any {
            let inputs = work_fingerprints(made);
            let keys: Vec<PartKey> = inputs.iter().map(request_key).collect();
            core.record_request_answers(&keys);
        }
    }

    /// Checks in the background whether a target that lost a call has crashed. If it has, that counts
    /// against the inputs of the call's pieces; jobs whose inputs are suspect by then end.
    pub(super) fn check_piece_crash(
        &self,
        core: &Rc<RelayCore>,
        shard: &str,
        target: String,
        work: Vec<PieceWork>,
    ) {
        let inputs: Vec<CrashFingerprint> = work_fingerprints(&work).into_iter().collect();
        let address = self.addresses.borrow().get(&target).copied();
        let Some(address) = address.filter(|_| !inputs.is_empty() && !core.is_leaving(&target))
        else {
            return;
        };
        let is_trial = !Self::suspect_jobs(core, &work).is_empty();
        let (core, shard) = (Rc::clone(core), shard.to_string());
        let lost_at = Instant::now();
        actix_rt::spawn(async move {
            let checking =
                async { is_process_gone(address).await && is_link_sound(&core, lost_at).await };
            let checked = actix_rt::time::timeout(CHECK_TIMEOUT, checking).await;
            if checked != Ok(true) {
                return;
            }
            let names = inputs.iter().map(request_key).map(part_name);
            let names: Vec<String> = names.collect();
            info!(core.log, "target died under a call for pieces";
                "target" => &target, "parts" => names.join(","));
            core.record_request_crash(&inputs, &target, is_trial);
            let jobs = Self::suspect_jobs(&core, &work);
            core.batch_service.give_up_jobs(&shard, &jobs);
        });
    }

    /// Ends jobs of a shard without their results.
    pub(super) fn give_up_jobs(&self, shard: &str, jobs: &BTreeSet<JobId>) {
        if let Some(state) = self.shard_states.borrow_mut().get_mut(shard) {
            for job in jobs {
                state.scheduler.give_up(*job, Instant::now());
            }
        }
        self.wake.notify_one();
    }
}
