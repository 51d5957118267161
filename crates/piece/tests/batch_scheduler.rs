//! Tests how pieces of many requests are batched into calls, under loads that went wrong before.

use {
    piece::{
        BatchAction, BatchScheduler, PieceInput, PieceOutcome, PieceWork, StageJob, StageResult,
    },
    plan::{PieceSpec, TargetRow},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

const MEGABYTE: u64 = 1_000_000;

fn spec() -> PieceSpec {
    PieceSpec {
        slots: 1,
        batch: 8,
        call_time: Duration::from_millis(200),
        item_time: Duration::from_millis(21),
        result_memory_bytes: 18 * MEGABYTE,
        keep_time: Duration::from_secs(4),
    }
}

fn row(centre: &str) -> TargetRow {
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
fn scheduler(targets: &[(&str, &str)], now: Instant) -> BatchScheduler {
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
fn job(pieces: u16, size_bytes: u64, goal_ms: u64, deadline_ms: u64) -> StageJob {
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
fn calls(actions: Vec<BatchAction>) -> Vec<(u64, String, Vec<PieceWork>)> {
    let calls = actions.into_iter().filter_map(|action| match action {
        BatchAction::Call { call, target, work } => Some((call, target, work)),
        _ => None,
    });
    calls.collect()
}

/// Returns the outcomes of a call that made all its pieces.
fn all_made(work: &[PieceWork]) -> Vec<PieceOutcome> {
    let outcomes = work
        .iter()
        .map(|piece| PieceOutcome::Made(format!("{}-{}-{}", piece.job, piece.stage, piece.piece)));
    outcomes.collect()
}

#[test]
fn waiting_jobs_share_the_next_call() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("t1", "a")], now);
    scheduler.submit(job(1, 8_000, 1_000, 5_000), now);
    let first = calls(scheduler.take_actions(now));
    assert_eq!(first.len(), 1);
    for _ in 0..5 {
        scheduler.submit(job(1, 8_000, 1_000, 5_000), now);
    }
    assert!(
        calls(scheduler.take_actions(now)).is_empty(),
        "the target is busy"
    );
    // Time of a call with one piece.
    let later = now + Duration::from_millis(221);
    scheduler.finish_call(first[0].0, all_made(&first[0].2), later);
    let second = calls(scheduler.take_actions(later));
    assert_eq!(second.len(), 1);
    assert_eq!(second[0].2.len(), 5);
}

#[test]
fn results_come_in_the_order_of_the_pieces() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("t1", "a"), ("t2", "a")], now);
    let number = scheduler.submit(job(12, 8_000, 1_000, 5_000), now);
    let batch_calls = calls(scheduler.take_actions(now));
    assert_eq!(
        batch_calls
            .iter()
            .map(|(_, _, work)| work.len())
            .sum::<usize>(),
        12
    );
    for (call, _, work) in batch_calls.iter().rev() {
        scheduler.finish_call(*call, all_made(work), now + Duration::from_millis(300));
    }
    let actions = scheduler.take_actions(now + Duration::from_millis(300));
    let done = actions.into_iter().find_map(|action| match action {
        BatchAction::Made { job, results } if job == number => Some(results),
        _ => None,
    });
    let names: Vec<String> = done
        .unwrap()
        .into_iter()
        .map(|result| result.name)
        .collect();
    let expected: Vec<String> = (0..12).map(|piece| format!("{number}-0-{piece}")).collect();
    assert_eq!(names, expected);
}

/// Guards against jobs that hold room while half made: in a burst of jobs with results of 1.5 MB,
/// newer jobs overtook older ones, and calls went out with one or two pieces.
#[test]
fn room_is_not_held_by_jobs_that_were_overtaken() {
    let start = Instant::now();
    let mut scheduler = scheduler(&[("t1", "a")], start);
    let mut now = start;
    let mut small_calls = 0;
    let mut finished = 0;
    for turn in 0..40 {
        for _ in 0..2 {
            scheduler.submit(job(3, 1_500_000, 900, 4_000), now);
        }
        let actions = scheduler.take_actions(now);
        let mut results = Vec::new();
        for action in &actions {
            if let BatchAction::Made { results: made, .. } = action {
                finished += 1;
                results.extend(made.clone());
            }
        }
        scheduler.free_results(results, now);
        for action in scheduler.take_actions(now + Duration::from_millis(20)) {
            if let BatchAction::Free { target, results } = action {
                scheduler.confirm_freed(&target, &results);
            }
        }
        let batch_calls = calls(actions);
        now += Duration::from_millis(330);
        for (call, _, work) in batch_calls {
            small_calls += u32::from(turn > 3 && work.len() < 3);
            scheduler.finish_call(call, all_made(&work), now);
        }
    }
    assert!(finished >= 38, "{finished} jobs in 40 calls");
    assert!(
        small_calls <= 4,
        "{small_calls} calls with one or two pieces"
    );
}

#[test]
fn a_large_job_starts_only_at_a_target_with_room_for_all_of_it() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("t1", "a")], now);
    scheduler.submit(job(8, 1_500_000, 900, 4_000), now);
    let first = calls(scheduler.take_actions(now));
    // After the end of the call with eight pieces, which takes 368 ms.
    let later = now + Duration::from_millis(370);
    scheduler.finish_call(first[0].0, all_made(&first[0].2), later);
    // 12 of 18 MB are taken up: four pieces of 1.5 MB do not fit.
    scheduler.submit(job(4, 1_500_000, 900, 4_000), later);
    let actions = scheduler.take_actions(later);
    assert!(calls(actions).is_empty());
}

#[test]
fn jobs_that_would_miss_their_deadline_fail_at_once() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("t1", "a")], now);
    for _ in 0..10 {
        scheduler.submit(job(8, 8_000, 3_000, 9_000), now);
    }
    let late = scheduler.submit(job(8, 8_000, 100, 1_000), now);
    let actions = scheduler.take_actions(now);
    let failed =
        |action: &BatchAction| matches!(action, BatchAction::Failed { job, .. } if *job == late);
    assert!(actions.iter().any(failed), "{actions:?}");
}

#[test]
fn jobs_that_can_meet_their_goal_precede_late_ones() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("t1", "a")], now);
    let late = scheduler.submit(job(8, 8_000, 10, 9_000), now);
    let timely = scheduler.submit(job(8, 8_000, 800, 9_000), now);
    let batch_calls = calls(scheduler.take_actions(now));
    assert!(batch_calls[0].2.iter().all(|piece| piece.job == timely));
    scheduler.finish_call(
        batch_calls[0].0,
        all_made(&batch_calls[0].2),
        now + Duration::from_millis(368),
    );
    let batch_calls = calls(scheduler.take_actions(now + Duration::from_millis(368)));
    assert!(batch_calls[0].2.iter().all(|piece| piece.job == late));
}

#[test]
fn pieces_stay_in_their_data_centre_while_they_can_wait() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("t1", "a"), ("t2", "b")], now);
    let job_for_b = |goal_ms| StageJob {
        data_centre: Some(String::from("b")),
        ..job(1, 1_500_000, goal_ms, 9_000)
    };
    scheduler.submit(job_for_b(2_000), now);
    let first = calls(scheduler.take_actions(now));
    assert_eq!(first[0].1, "t2");
    scheduler.submit(job_for_b(2_000), now);
    assert!(
        calls(scheduler.take_actions(now)).is_empty(),
        "the job waits for a target in its own data centre"
    );
    scheduler.submit(job_for_b(400), now);
    let urgent = calls(scheduler.take_actions(now));
    assert_eq!(
        urgent[0].1, "t1",
        "a job that cannot wait goes to any target"
    );
    assert_eq!(urgent[0].2.len(), 1);
}

#[test]
fn inputs_count_as_read_soon_after_the_last_call_started() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("t1", "a")], now);
    let number = scheduler.submit(job(2, 8_000, 1_000, 5_000), now);
    assert_eq!(calls(scheduler.take_actions(now)).len(), 1);
    let read = BatchAction::InputsRead { job: number };
    assert!(
        !scheduler
            .take_actions(now + Duration::from_millis(10))
            .contains(&read)
    );
    assert!(
        scheduler
            .take_actions(now + Duration::from_millis(100))
            .contains(&read)
    );
    assert!(
        !scheduler
            .take_actions(now + Duration::from_millis(200))
            .contains(&read),
        "the inputs are reported as read only once"
    );
}

#[test]
fn results_of_a_cancelled_job_are_freed() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("t1", "a")], now);
    let number = scheduler.submit(job(2, 8_000, 1_000, 5_000), now);
    let batch_calls = calls(scheduler.take_actions(now));
    scheduler.cancel(number, now);
    let later = now + Duration::from_millis(250);
    scheduler.finish_call(batch_calls[0].0, all_made(&batch_calls[0].2), later);
    let actions = scheduler.take_actions(later + Duration::from_millis(50));
    let freed = actions.into_iter().find_map(|action| match action {
        BatchAction::Free { results, .. } => Some(results.len()),
        _ => None,
    });
    assert_eq!(freed, Some(2));
}

#[test]
fn pieces_of_a_failed_call_go_to_another_target() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("t1", "a"), ("t2", "a")], now);
    scheduler.submit(job(1, 8_000, 1_000, 5_000), now);
    let first = calls(scheduler.take_actions(now));
    // The call failed; the target did not refuse it.
    scheduler.fail_call(first[0].0, false, now);
    let second = calls(scheduler.take_actions(now));
    assert_eq!(second.len(), 1);
    assert_ne!(second[0].1, first[0].1);
}

#[test]
fn freed_results_are_reported_to_the_target_that_made_them() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("t1", "a")], now);
    let result = StageResult {
        maker: String::from("t1"),
        name: String::from("h"),
    };
    scheduler.free_results([result], now);
    assert!(
        scheduler.take_actions(now).is_empty(),
        "the report waits for further freed results"
    );
    let actions = scheduler.take_actions(now + Duration::from_millis(30));
    let freed = BatchAction::Free {
        target: String::from("t1"),
        results: vec![String::from("h")],
    };
    assert_eq!(actions, vec![freed]);
}

/// Guards against serving every job just after it has become late, at 1.5 times the load that the
/// pool can serve and with a goal of 900 ms. This happens if jobs go earliest goal first, and a job
/// counts as able to meet its goal as long as a call with a single piece would end in time.
#[test]
fn under_overload_most_served_jobs_are_in_time() {
    let start = Instant::now();
    let mut scheduler = scheduler(&[("t1", "a")], start);
    // Time of a call with eight pieces.
    let call_time = Duration::from_millis(368);
    let mut jobs: BTreeMap<u64, Instant> = BTreeMap::new();
    let (mut timely, mut late) = (0, 0);
    let mut running: Option<(u64, Vec<PieceWork>, Instant)> = None;
    for tick in 0..1_200 {
        let now = start + Duration::from_millis(10) * tick;
        // A call makes eight pieces in 36.8 ticks of 10 ms; 12 arrive in that time.
        if tick % 3 == 0 {
            let number = scheduler.submit(job(1, 8_000, 900, 4_000), now);
            jobs.insert(number, now + Duration::from_millis(900));
        }
        if let Some((call, work, _)) = running.take_if(|(.., until)| *until <= now) {
            scheduler.finish_call(call, all_made(&work), now);
        }
        for action in scheduler.take_actions(now) {
            match action {
                BatchAction::Call { call, work, .. } => {
                    running = Some((call, work, now + call_time))
                }
                BatchAction::Made { job, .. } => match now <= jobs[&job] {
                    true => timely += 1,
                    false => late += 1,
                },
                _ => {}
            }
        }
    }
    assert!(timely > 4 * late, "{timely} in time, {late} late");
    assert!(timely + late > 230, "only {} were served", timely + late);
}

/// Guards against repeated calls for results that find no room. This happens after all entries were
/// killed: results made for them still take up room, which the new entries do not know.
#[test]
fn room_taken_by_unknown_results_delays_only_jobs_that_need_it() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("t1", "a")], now);
    scheduler.submit(job(2, 1_500_000, 1_000, 5_000), now);
    let first = calls(scheduler.take_actions(now));
    let later = now + Duration::from_millis(200);
    scheduler.finish_call(first[0].0, vec![PieceOutcome::NoRoom; 2], later);
    assert!(
        calls(scheduler.take_actions(later)).is_empty(),
        "the same pieces would find no room again"
    );
    scheduler.submit(job(1, 8_000, 1_000, 5_000), later);
    let small = calls(scheduler.take_actions(later));
    assert_eq!(small.len(), 1, "a small result still fits");
    assert_eq!(small[0].2.len(), 1);
    // The room is capped for 300 ms.
    let much_later = later + Duration::from_millis(400);
    scheduler.finish_call(small[0].0, all_made(&small[0].2), much_later);
    assert_eq!(
        calls(scheduler.take_actions(much_later))[0].2.len(),
        2,
        "the pieces are tried again"
    );
}
