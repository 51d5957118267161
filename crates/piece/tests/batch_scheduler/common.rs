use {
    piece::{BatchAction, BatchScheduler, PieceInput, PieceOutcome, PieceWork, StageJob},
    plan::{PieceSpec, TargetRow},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

pub const MEGABYTE: u64 = 1_000_000;

pub fn spec() -> PieceSpec {
    PieceSpec {
        slots: 1,
        batch: 8,
        call_time: Duration::from_millis(200),
        item_time: Duration::from_millis(21),
        result_memory_bytes: 18 * MEGABYTE,
        keep_time: Duration::from_secs(4),
    }
}

pub fn row(centre: &str) -> TargetRow {
    TargetRow {
        service: String::from("intake"),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: centre.to_string(),
        version: Some(String::from("v1")),
        slots: 1,
        leaving: false,
        started_ms: 0,
    }
}

/// Creates a scheduler with these targets, each given by its id and data centre.
pub fn scheduler(targets: &[(&str, &str)], now: Instant) -> BatchScheduler {
    let rows: BTreeMap<String, TargetRow> = targets
        .iter()
        .map(|(id, centre)| (id.to_string(), row(centre)))
        .collect();
    let mut scheduler = BatchScheduler::new(spec());
    scheduler.set_targets(&rows, spec(), now);
    scheduler
}

/// Creates a job with this number of pieces and size of each result in bytes, and with the time
/// left until its latency goal and until its deadline.
pub fn job(pieces: u16, size_bytes: u64, goal_ms: u64, deadline_ms: u64) -> StageJob {
    StageJob {
        request: String::from("r"),
        stage: 0,
        pieces,
        input: PieceInput::Key(String::from("k")),
        result_bytes: size_bytes,
        aim_left: Duration::from_millis(goal_ms),
        time_left: Duration::from_millis(deadline_ms),
        data_centre: None,
    }
}

/// Returns the number, target and pieces of each call among the actions.
pub fn calls(actions: Vec<BatchAction>) -> Vec<(u64, String, Vec<PieceWork>)> {
    let calls = actions.into_iter().filter_map(|action| match action {
        BatchAction::Call { call, target, work } => Some((call, target, work)),
        _ => None,
    });
    calls.collect()
}

/// Returns the outcomes of a call that made all its pieces.
pub fn all_made(work: &[PieceWork]) -> Vec<PieceOutcome> {
    let outcomes = work
        .iter()
        .map(|piece| PieceOutcome::Made(format!("{}-{}-{}", piece.job, piece.stage, piece.piece)));
    outcomes.collect()
}
