use {
    crate::data::stage_call::StageCall,
    base::{FailureReason, TargetId},
    pipe::{CallFailure, NotRunProof},
    retry::{CrashVerdict, RunPermit, short_hash},
    route::{Pick, PickQuery},
    std::time::{Duration, Instant},
};

/// Pause before a suspect asks again whether it may run.
const SUSPECT_PAUSE: Duration = Duration::from_millis(10);
/// Targets that a request without a whole run tries before it waits for word of peers.
const OPEN_TARGETS: usize = 2;
/// Time in which peers say what they saw of a request that ran out of its first targets.
const WORD_PAUSE: Duration = Duration::from_millis(100);
/// Longest time for which a suspect waits for a place in its entry's own part of the pool, while
/// suspects of other entries run in theirs.
const PART_WAIT: Duration = Duration::from_secs(5);
/// Part of the time that remains which such a wait may take, as a divisor.
const PART_SHARE: u32 = 4;
/// Bytes at the beginning of a prompt that an engine may have cached.
const PREFIX_BYTES: usize = 256;

/// Choice of the target.
impl StageCall {
    /// A target that the request has not tried and may run on.
    pub(super) async fn pick_target(&self) -> Result<Pick, CallFailure> {
        let scope = &self.scope;
        let mut passed = Vec::new();
        if scope.tried.borrow().len() >= OPEN_TARGETS && self.copies_hash(Instant::now()).is_some()
        {
            actix_rt::time::sleep(WORD_PAUSE).await;
        }
        let inside_until = self.inside_until(Instant::now());
        loop {
            let now = Instant::now();
            if now >= scope.deadline {
                return Err(self.unsent(FailureReason::DeadlinePassed));
            }
            let inside = now < inside_until && self.is_suspect(now);
            let Some(pick) = self.pick_open(&passed, now, inside) else {
                if passed.is_empty() && !inside {
                    self.forget_tried()?;
                } else {
                    passed.clear();
                    actix_rt::time::sleep(SUSPECT_PAUSE).await;
                }
                continue;
            };
            let call = self.tracked_call(&pick.target);
            let permit = scope.core.crashes.borrow_mut().try_start_call(call, now);
            match permit {
                RunPermit::Granted => {
                    scope.tried.borrow_mut().push(pick.target.clone());
                    return Ok(pick);
                }
                RunPermit::Elsewhere | RunPermit::Later => passed.push(pick.target),
                RunPermit::Refused => return Err(self.unsent(FailureReason::CrashSuspect)),
            }
        }
    }

    /// When a suspect need no longer stay within this entry's own part of the pool.
    fn inside_until(&self, now: Instant) -> Instant {
        let remaining = self.scope.deadline.saturating_duration_since(now);
        now + PART_WAIT.min(remaining / PART_SHARE)
    }

    fn is_suspect(&self, now: Instant) -> bool {
        let crashes = self.scope.core.crashes.borrow();
        crashes.verdict(&self.scope.fingerprint, now) == CrashVerdict::Suspect
    }

    /// A target that was neither tried nor passed over; `inside` this entry's own part of the
    /// pool no suspect of another entry runs.
    fn pick_open(&self, passed: &[TargetId], now: Instant, inside: bool) -> Option<Pick> {
        let core = &self.scope.core;
        core.refresh();
        let mut closed = self.scope.tried.borrow().clone();
        closed.extend_from_slice(passed);
        if inside {
            closed.extend(self.parts_of_others());
        }
        let prefix_hash = self.stage.is_engine.then(|| prefix_hash(&self.spec.input));
        let query = PickQuery {
            prefix_hash,
            tried: &closed,
            request_hash: self.copies_hash(now),
            ..PickQuery::default()
        };
        core.pools.borrow_mut().pick(&self.stage.pool, query, now)
    }

    /// Targets where suspects of other entries may run: entries whose calls were lost with the same
    /// target share out those that are left.
    fn parts_of_others(&self) -> Vec<TargetId> {
        let core = &self.scope.core;
        let crashes = core.crashes.borrow();
        let victims = crashes.victims(&self.scope.fingerprint);
        let victims: Vec<u64> = victims.map(|victim| victim.target).collect();
        let is_dead = |target: &TargetId| victims.contains(&short_hash(target));
        let pools = core.pools.borrow();
        pools.parts_of_others(&self.stage.pool, &core.settings.host, is_dead)
    }

    /// Hash by which copies of a request on several entries go to the same few targets, until
    /// it has shown that it can run to its end.
    fn copies_hash(&self, now: Instant) -> Option<u64> {
        let fingerprint = &self.scope.fingerprint;
        let crashes = self.scope.core.crashes.borrow();
        let proven = crashes.is_proven(fingerprint, self.spec.stage, now);
        (!proven).then(|| first_word(fingerprint))
    }

    /// Lets all tried targets but the last one be tried again.
    fn forget_tried(&self) -> Result<(), CallFailure> {
        let mut tried = self.scope.tried.borrow_mut();
        if tried.len() < 2 {
            return Err(CallFailure::NoTarget(NotRunProof::not_called()));
        }
        let last = tried.len() - 1;
        tried.drain(..last);
        Ok(())
    }
}

fn prefix_hash(input: &[u8]) -> u64 {
    let prefix = &input[..input.len().min(PREFIX_BYTES)];
    first_word(blake3::hash(prefix).as_bytes())
}

/// Number that the first bytes of a hash make up.
fn first_word(hash: &[u8]) -> u64 {
    let mut word = [0; 8];
    word.copy_from_slice(&hash[..8]);
    u64::from_le_bytes(word)
}
