use {
    crate::data::stage_call::StageCall,
    base::{FailureReason, TargetId},
    pipe::{CallFailure, NotRunProof},
    retry::{CrashVerdict, RunPermit, short_hash},
    route::{Pick, PickQuery},
    std::time::{Duration, Instant},
};

/// Pause before a suspect request asks again whether it may run.
const SUSPECT_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Number of tried targets from which a request waits for strikes from peers, unless it has
/// completed the stage before.
const TARGETS_BEFORE_PAUSE: usize = 2;
/// Time for which such a request waits, so that peers can report the strikes that they have seen.
const PEER_STRIKE_PAUSE: Duration = Duration::from_millis(100);
/// Longest time for which a suspect request is confined to this entry's partition of the pool,
/// while suspects of other entries run in theirs.
const MAX_PARTITION_WAIT: Duration = Duration::from_secs(5);
/// Divisor of the remaining time for the longest time that a suspect is confined.
const PARTITION_WAIT_DIVISOR: u32 = 4;
/// Number of bytes at the start of a prompt that identify its cached prefix.
const MAX_PREFIX_BYTES: usize = 256;

/// Choice of the call's target.
impl StageCall {
    /// Waits for a target that the request has not tried and may run on.
    pub(super) async fn pick_target(&self) -> Result<Pick, CallFailure> {
        let context = &self.context;
        let mut denied = Vec::new();
        if context.tried.borrow().len() >= TARGETS_BEFORE_PAUSE
            && self.request_hash(Instant::now()).is_some()
        {
            actix_rt::time::sleep(PEER_STRIKE_PAUSE).await;
        }
        let confined_until = self.confined_until(Instant::now());
        loop {
            let now = Instant::now();
            if now >= context.deadline {
                return Err(self.not_admitted(FailureReason::DeadlinePassed));
            }
            let is_confined = now < confined_until && self.is_suspect(now);
            let Some(pick) = self.pick_untried(&denied, now, is_confined) else {
                if denied.is_empty() && !is_confined {
                    self.reset_tried()?;
                } else {
                    denied.clear();
                    actix_rt::time::sleep(SUSPECT_RETRY_INTERVAL).await;
                }
                continue;
            };
            let call = self.tracked_call(&pick.target);
            let permit = context
                .core
                .crash_tracker
                .borrow_mut()
                .try_start_call(call, now);
            match permit {
                RunPermit::Granted => {
                    context.tried.borrow_mut().push(pick.target.clone());
                    return Ok(pick);
                }
                RunPermit::Elsewhere | RunPermit::Later => denied.push(pick.target),
                RunPermit::Refused => return Err(self.not_admitted(FailureReason::CrashSuspect)),
            }
        }
    }

    /// Returns the time until which a suspect is confined to this entry's partition of the pool.
    fn confined_until(&self, now: Instant) -> Instant {
        let remaining = self.context.deadline.saturating_duration_since(now);
        now + MAX_PARTITION_WAIT.min(remaining / PARTITION_WAIT_DIVISOR)
    }

    fn is_suspect(&self, now: Instant) -> bool {
        let crash_tracker = self.context.core.crash_tracker.borrow();
        crash_tracker.verdict(&self.context.fingerprint, now) == CrashVerdict::Suspect
    }

    /// Chooses a target that was neither tried nor denied. With `is_confined` it comes from this
    /// entry's partition of the pool, where no suspect of another entry runs.
    fn pick_untried(&self, denied: &[TargetId], now: Instant, is_confined: bool) -> Option<Pick> {
        let core = &self.context.core;
        core.refresh();
        let mut excluded = self.context.tried.borrow().clone();
        excluded.extend_from_slice(denied);
        if is_confined {
            excluded.extend(self.targets_of_other_entries());
        }
        let prefix_hash = self.stage.is_engine.then(|| prefix_hash(&self.spec.input));
        let query = PickQuery {
            prefix_hash,
            tried: &excluded,
            request_hash: self.request_hash(now),
            ..PickQuery::default()
        };
        core.pools.borrow_mut().pick(&self.stage.pool, query, now)
    }

    /// Returns the targets where suspects of other entries may run. Entries that know of the same
    /// dead targets partition the remaining ones alike.
    fn targets_of_other_entries(&self) -> Vec<TargetId> {
        let core = &self.context.core;
        let crash_tracker = core.crash_tracker.borrow();
        let victims = crash_tracker.victims(&self.context.fingerprint);
        let victims: Vec<u64> = victims.map(|victim| victim.target).collect();
        let is_dead = |target: &TargetId| victims.contains(&short_hash(target));
        let pools = core.pools.borrow();
        pools.targets_of_other_entries(&self.stage.pool, &core.settings.host, is_dead)
    }

    /// Returns the hash by which copies of a request on several entries go to the same few targets;
    /// `None` once the request has completed the stage.
    fn request_hash(&self, now: Instant) -> Option<u64> {
        let fingerprint = &self.context.fingerprint;
        let crash_tracker = self.context.core.crash_tracker.borrow();
        let is_proven = crash_tracker.is_proven(fingerprint, self.spec.stage, now);
        (!is_proven).then(|| leading_u64(fingerprint))
    }

    /// Allows all tried targets but the last one to be tried again. Fails if there is no other one.
    fn reset_tried(&self) -> Result<(), CallFailure> {
        let mut tried = self.context.tried.borrow_mut();
        if tried.len() < 2 {
            return Err(CallFailure::NoTarget(NotRunProof::not_called()));
        }
        let last = tried.len() - 1;
        tried.drain(..last);
        Ok(())
    }
}

fn prefix_hash(input: &[u8]) -> u64 {
    let prefix = &input[..input.len().min(MAX_PREFIX_BYTES)];
    leading_u64(blake3::hash(prefix).as_bytes())
}

/// Returns the first eight bytes of a hash as a little-endian number.
fn leading_u64(hash: &[u8]) -> u64 {
    let mut leading = [0; 8];
    leading.copy_from_slice(&hash[..8]);
    u64::from_le_bytes(leading)
}
