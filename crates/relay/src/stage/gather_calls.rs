use {
    crate::{shared::RelayCore, stage::GatherService, target::LinkFault},
    piece::{CallId, PieceOutcome, PieceWork},
    slog::{debug, info},
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Time for a call beyond what it should take.
const CALL_SLACK: Duration = Duration::from_secs(4);
/// Longest answer to a call for pieces, in bytes.
const ANSWER_BYTES: usize = 256 * 1024;
/// Time for freeing results.
const FREE_TIME: Duration = Duration::from_secs(1);

/// Calls to targets of stages.
impl GatherService {
    pub(super) fn start_call(
        &self,
        core: &Rc<RelayCore>,
        pool: &str,
        call: CallId,
        target: String,
        work: Vec<PieceWork>,
    ) {
        let core = Rc::clone(core);
        let pool = pool.to_string();
        actix_rt::spawn(async move {
            let started = Instant::now();
            let outcome = call_target(&core, &target, &work).await;
            let now = Instant::now();
            if let Some(open) = core.gather.desks.borrow_mut().get_mut(&pool) {
                match outcome {
                    Ok(ends) => {
                        let made = ends
                            .iter()
                            .filter(|end| matches!(end, PieceOutcome::Made(_)));
                        info!(core.log, "pieces made"; "pool" => &pool, "target" => &target,
                            "asked" => work.len(), "made" => made.count(),
                            "ms" => (now - started).as_millis() as u64,
                            "waiting" => open.desk.waiting_pieces(),
                            "room" => open.desk.room(&target, now));
                        open.desk.finish_call(call, ends, now);
                    }
                    Err(fault) => {
                        core.meters.piece_calls_failed.inc();
                        info!(core.log, "call for pieces failed"; "pool" => &pool,
                            "target" => &target, "pieces" => work.len(),
                            "reason" => ?fault);
                        let refused = matches!(fault, PieceFault::Refused | PieceFault::Unsent);
                        open.desk.fail_call(call, refused, now);
                    }
                }
            }
            core.gather.wake.notify_one();
        });
    }

    pub(super) fn start_free(
        &self,
        core: &Rc<RelayCore>,
        pool: &str,
        target: String,
        results: Vec<String>,
    ) {
        let Some(address) = self.addresses.borrow().get(&target).copied() else {
            return;
        };
        let (core, pool) = (Rc::clone(core), pool.to_string());
        actix_rt::spawn(async move {
            let call = core.dialects.target.write_free(&results);
            let freed = core
                .links
                .exchange(address, call, FREE_TIME, ANSWER_BYTES)
                .await;
            match freed {
                Ok(_) => {
                    if let Some(open) = core.gather.desks.borrow_mut().get_mut(&pool) {
                        open.desk.confirm_freed(&target, &results);
                    }
                    core.gather.wake.notify_one();
                }
                Err(fault) => {
                    debug!(core.log, "results not freed"; "target" => target, "reason" => ?fault);
                }
            }
        });
    }
}

#[derive(Debug)]
enum PieceFault {
    Unsent,
    Refused,
    Broken,
}

async fn call_target(
    core: &RelayCore,
    target: &str,
    work: &[PieceWork],
) -> Result<Vec<PieceOutcome>, PieceFault> {
    let address = core.gather.addresses.borrow().get(target).copied();
    let address = address.ok_or(PieceFault::Unsent)?;
    let call = core.dialects.target.write_pieces(target, work);
    core.meters.piece_calls.inc();
    core.meters.pieces.inc_by(work.len() as u64);
    let answer = core
        .links
        .exchange(address, call, CALL_SLACK, ANSWER_BYTES)
        .await;
    let (status, _, body) = answer.map_err(|fault| match fault {
        LinkFault::NotSent(_) => PieceFault::Unsent,
        _ => PieceFault::Broken,
    })?;
    if status != 200 {
        return Err(PieceFault::Refused);
    }
    let ends = core.dialects.target.read_pieces(&body, work.len());
    ends.map_err(|fault| {
        info!(core.log, "pieces unreadable"; "target" => target, "reason" => %fault);
        PieceFault::Broken
    })
}
