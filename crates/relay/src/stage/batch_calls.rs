use {
    crate::{
        dialect::HeaderList,
        link::{CallRepeat, SilenceRule, await_answer, record_call_fault},
        permit::pass_limit,
        shared::RelayCore,
        stage::{
            BatchService,
            piece_answer::{is_foreign, new_call_id, read_piece_answer},
        },
        target::CallFault,
        tasks::catch_panic,
    },
    piece::{CallId, MachinePace, PieceOutcome, PieceWork},
    slog::{debug, info},
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Time within which a target must answer a call for pieces.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest answer of a target, in bytes.
const MAX_ANSWER_BYTES: usize = 256 * 1024;
/// Time within which a target must answer that it has freed results.
const FREE_TIMEOUT: Duration = Duration::from_secs(1);

/// Status of an answer by another process than the one that was called.
const MISDIRECTED_STATUS: u16 = 421;

/// Calls to targets that make pieces.
impl BatchService {
    /// Sends a call for a batch of pieces to a target in the background, and passes its outcome to
    /// the shard's scheduler.
    pub(super) fn start_call(
        &self,
        core: &Rc<RelayCore>,
        shard: &str,
        call: CallId,
        target: String,
        work: Vec<PieceWork>,
    ) {
        let core = Rc::clone(core);
        let shard = shard.to_string();
        actix_rt::spawn(async move {
            let started = Instant::now();
            let outcome = catch_panic(call_target(&core, &target, &work)).await;
            let outcome = outcome.unwrap_or(Err(PieceCallFault::Panicked));
            let is_broken = matches!(outcome, Err(PieceCallFault::Broken));
            let now = Instant::now();
            if let Some(state) = core.batch_service.shard_states.borrow_mut().get_mut(&shard) {
                match outcome {
                    Ok(outcomes) => {
                        let made = outcomes
                            .iter()
                            .filter(|outcome| matches!(outcome, PieceOutcome::Made(_)));
                        info!(core.log, "pieces made"; "pool" => &shard, "target" => &target,
                            "asked" => work.len(), "made" => made.count(),
                            "ms" => (now - started).as_millis() as u64,
                            "waiting" => state.scheduler.waiting_pieces(),
                            "room" => state.scheduler.room(&target, now));
                        let made = work.iter().zip(&outcomes);
                        let made =
                            made.filter(|(_, outcome)| matches!(outcome, PieceOutcome::Made(_)));
                        Self::record_made(&core, made.map(|(piece, _)| piece));
                        state.scheduler.finish_call(call, outcomes, now);
                    }
                    Err(fault) => {
                        core.metrics.piece_calls_failed.inc();
                        info!(core.log, "call for pieces failed"; "pool" => &shard,
                            "target" => &target, "pieces" => work.len(),
                            "reason" => ?fault);
                        let is_refused =
                            matches!(fault, PieceCallFault::Refused | PieceCallFault::Unsent);
                        let suspects = Self::suspect_jobs(&core, &work);
                        for job in suspects.into_iter().filter(|_| is_broken) {
                            state.scheduler.give_up(job, now);
                        }
                        state.scheduler.fail_call(call, is_refused, now);
                    }
                }
            }
            core.batch_service.wake.notify_one();
            if is_broken {
                core.batch_service
                    .check_piece_crash(&core, &shard, target, work);
            }
        });
    }

    /// Tells a target in the background to free results. Once it answers, with whatever status, the
    /// shard's scheduler counts them as freed; until then they count as stored at the target.
    pub(super) fn start_free(
        &self,
        core: &Rc<RelayCore>,
        shard: &str,
        target: String,
        results: Vec<String>,
    ) {
        let Some(address) = self.addresses.borrow().get(&target).copied() else {
            return;
        };
        // The results expire by themselves; what the target still takes is for pieces.
        if core.target_limit(&target).is_some() {
            return;
        }
        let (core, shard) = (Rc::clone(core), shard.to_string());
        actix_rt::spawn(async move {
            let called_at = Instant::now();
            let call_id = new_call_id(&core);
            let call = core.dialects.target.write_free(&call_id, &target, &results);
            let answer = core
                .connections
                .call_and_read(address, call, FREE_TIMEOUT, MAX_ANSWER_BYTES)
                .await;
            match answer {
                Ok(reply) if is_foreign(&core, &call_id, &reply) => {
                    info!(core.log, "answer to another call"; "target" => target);
                }
                Ok(reply) => {
                    let (status, headers) = (reply.status, &reply.headers);
                    let notice = core.dialects.target.read_notice(status, headers);
                    core.record_notice(&target, notice, Instant::now());
                    let word = core.dialects.target.read_word(headers);
                    core.record_limit(&target, word, called_at);
                    reply.keep_connection();
                    if let Some(state) =
                        core.batch_service.shard_states.borrow_mut().get_mut(&shard)
                    {
                        state.scheduler.confirm_freed(&target, &results);
                    }
                    core.batch_service.wake.notify_one();
                }
                Err(fault) => {
                    debug!(core.log, "target did not confirm that it freed results";
                        "target" => target, "reason" => ?fault);
                }
            }
        });
    }
}

/// Why a call for pieces failed.
#[derive(Debug)]
enum PieceCallFault {
    /// The call did not leave this process.
    Unsent,
    /// The target answered with another status than 200.
    Refused,
    /// The connection failed, or the answer could not be read.
    Broken,
    /// A fault of this program has ended the call.
    Panicked,
}

async fn call_target(
    core: &Rc<RelayCore>,
    target: &str,
    work: &[PieceWork],
) -> Result<Vec<PieceOutcome>, PieceCallFault> {
    let address = core.batch_service.addresses.borrow().get(target).copied();
    let address = address.ok_or(PieceCallFault::Unsent)?;
    let pass = pass_limit(core, target).await;
    let mut pass = pass.ok_or(PieceCallFault::Unsent)?;
    let called_at = Instant::now();
    let call_id = new_call_id(core);
    let call = core.dialects.target.write_pieces(&call_id, target, work);
    core.metrics.piece_calls.inc();
    core.metrics.pieces.inc_by(work.len() as u64);
    let answering = core
        .connections
        .call_and_read(address, call, CALL_TIMEOUT, MAX_ANSWER_BYTES);
    // A piece may be made again at any time.
    let rule = SilenceRule {
        repeat: CallRepeat::Elsewhere,
        may_leave: &|| true,
    };
    let answer = await_answer(core, target, address, rule, answering).await;
    if answer.is_ok() {
        core.link.borrow_mut().record_answer(Instant::now());
    }
    let reply = answer.map_err(|fault| {
        record_call_fault(core, target, &fault);
        match fault {
            CallFault::NotSent(_) => PieceCallFault::Unsent,
            _ => PieceCallFault::Broken,
        }
    })?;
    let status = reply.status;
    let (headers, outcomes) =
        read_piece_answer(core, &call_id, work.len(), reply).map_err(|fault| {
            info!(core.log, "answer to a call for pieces not believed";
                "target" => target, "status" => status, "reason" => %fault);
            PieceCallFault::Broken
        })?;
    let notice = core.dialects.target.read_notice(status, &headers);
    core.record_notice(target, notice, Instant::now());
    if status != MISDIRECTED_STATUS {
        record_pace(core, target, &headers);
        let word = core.dialects.target.read_word(&headers);
        core.record_limit(target, word, called_at);
    }
    outcomes.ok_or_else(|| {
        pass.set_refused();
        PieceCallFault::Refused
    })
}

/// Records how long work takes on the machine of a target that has answered, if it says so.
fn record_pace(core: &RelayCore, target: &str, headers: &HeaderList) {
    let Some(percent) = core.dialects.target.read_pace(headers) else {
        return;
    };
    match MachinePace::from_percent(percent, Instant::now()) {
        Some(pace) => core.batch_service.set_pace(target, pace),
        None => {
            core.metrics.unusable_paces.inc();
        }
    }
}
