//! How pieces of many requests are gathered, replayed for the loads that shaped it.

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
        slots: 1,
        leaving: false,
        started_ms: 0,
    }
}

fn desk(centres: &[(&str, &str)], now: Instant) -> BatchScheduler {
    let rows: BTreeMap<String, TargetRow> = centres
        .iter()
        .map(|(id, centre)| (id.to_string(), row(centre)))
        .collect();
    let mut desk = BatchScheduler::new(spec());
    desk.set_targets(&rows, spec(), now);
    desk
}

fn job(pieces: u16, bytes: u64, aim_ms: u64, left_ms: u64) -> StageJob {
    StageJob {
        request: String::from("r"),
        stage: 0,
        pieces,
        input: PieceInput::Key(String::from("k")),
        result_bytes: bytes,
        aim_left: Duration::from_millis(aim_ms),
        time_left: Duration::from_millis(left_ms),
        data_centre: None,
    }
}

fn calls(steps: Vec<BatchAction>) -> Vec<(u64, String, Vec<PieceWork>)> {
    let calls = steps.into_iter().filter_map(|step| match step {
        BatchAction::Call { call, target, work } => Some((call, target, work)),
        _ => None,
    });
    calls.collect()
}

fn made(work: &[PieceWork]) -> Vec<PieceOutcome> {
    let outcomes = work
        .iter()
        .map(|piece| PieceOutcome::Made(format!("{}-{}-{}", piece.job, piece.stage, piece.piece)));
    outcomes.collect()
}

#[test]
fn waiting_orders_share_the_next_call() {
    let now = Instant::now();
    let mut desk = desk(&[("t1", "a")], now);
    desk.submit(job(1, 8_000, 1_000, 5_000), now);
    let first = calls(desk.take_actions(now));
    assert_eq!(first.len(), 1);
    for _ in 0..5 {
        desk.submit(job(1, 8_000, 1_000, 5_000), now);
    }
    assert!(
        calls(desk.take_actions(now)).is_empty(),
        "the target is busy"
    );
    let later = now + Duration::from_millis(221);
    desk.finish_call(first[0].0, made(&first[0].2), later);
    let second = calls(desk.take_actions(later));
    assert_eq!(second.len(), 1);
    assert_eq!(second[0].2.len(), 5);
}

#[test]
fn results_come_in_the_order_of_the_pieces() {
    let now = Instant::now();
    let mut desk = desk(&[("t1", "a"), ("t2", "a")], now);
    let number = desk.submit(job(12, 8_000, 1_000, 5_000), now);
    let batch_calls = calls(desk.take_actions(now));
    assert_eq!(
        batch_calls
            .iter()
            .map(|(_, _, work)| work.len())
            .sum::<usize>(),
        12
    );
    for (call, _, work) in batch_calls.iter().rev() {
        desk.finish_call(*call, made(work), now + Duration::from_millis(300));
    }
    let steps = desk.take_actions(now + Duration::from_millis(300));
    let done = steps.into_iter().find_map(|step| match step {
        BatchAction::Made { job, results } if job == number => Some(results),
        _ => None,
    });
    let names: Vec<String> = done
        .unwrap()
        .into_iter()
        .map(|result| result.name)
        .collect();
    let wanted: Vec<String> = (0..12).map(|piece| format!("{number}-0-{piece}")).collect();
    assert_eq!(names, wanted);
}

/// Load: a burst of orders with results of 1.5 MB, each overtaken by newer ones while half made.
#[test]
fn room_is_not_held_by_orders_that_were_overtaken() {
    let start = Instant::now();
    let mut desk = desk(&[("t1", "a")], start);
    let mut now = start;
    let mut small_calls = 0;
    let mut finished = 0;
    for turn in 0..40 {
        for _ in 0..2 {
            desk.submit(job(3, 1_500_000, 900, 4_000), now);
        }
        let steps = desk.take_actions(now);
        let mut results = Vec::new();
        for step in &steps {
            if let BatchAction::Made { results: made, .. } = step {
                finished += 1;
                results.extend(made.clone());
            }
        }
        desk.free_results(results, now);
        for step in desk.take_actions(now + Duration::from_millis(20)) {
            if let BatchAction::Free { target, results } = step {
                desk.confirm_freed(&target, &results);
            }
        }
        let batch_calls = calls(steps);
        now += Duration::from_millis(330);
        for (call, _, work) in batch_calls {
            small_calls += u32::from(turn > 3 && work.len() < 3);
            desk.finish_call(call, made(&work), now);
        }
    }
    assert!(finished >= 38, "{finished} orders in 40 calls");
    assert!(
        small_calls <= 4,
        "{small_calls} calls with one or two pieces"
    );
}

#[test]
fn a_large_order_is_begun_only_where_it_has_room() {
    let now = Instant::now();
    let mut desk = desk(&[("t1", "a")], now);
    desk.submit(job(8, 1_500_000, 900, 4_000), now);
    let first = calls(desk.take_actions(now));
    let later = now + Duration::from_millis(370);
    desk.finish_call(first[0].0, made(&first[0].2), later);
    // 12 MB of 18 are held: four pieces of 1.5 MB do not fit.
    desk.submit(job(4, 1_500_000, 900, 4_000), later);
    let steps = desk.take_actions(later);
    assert!(calls(steps).is_empty());
}

#[test]
fn orders_that_cannot_be_done_in_time_are_given_up_at_once() {
    let now = Instant::now();
    let mut desk = desk(&[("t1", "a")], now);
    for _ in 0..10 {
        desk.submit(job(8, 8_000, 3_000, 9_000), now);
    }
    let late = desk.submit(job(8, 8_000, 100, 1_000), now);
    let steps = desk.take_actions(now);
    let failed =
        |step: &BatchAction| matches!(step, BatchAction::Failed { job, .. } if *job == late);
    assert!(steps.iter().any(failed), "{steps:?}");
}

#[test]
fn timely_orders_go_before_late_ones() {
    let now = Instant::now();
    let mut desk = desk(&[("t1", "a")], now);
    let late = desk.submit(job(8, 8_000, 10, 9_000), now);
    let timely = desk.submit(job(8, 8_000, 800, 9_000), now);
    let batch_calls = calls(desk.take_actions(now));
    assert!(batch_calls[0].2.iter().all(|piece| piece.job == timely));
    desk.finish_call(
        batch_calls[0].0,
        made(&batch_calls[0].2),
        now + Duration::from_millis(368),
    );
    let batch_calls = calls(desk.take_actions(now + Duration::from_millis(368)));
    assert!(batch_calls[0].2.iter().all(|piece| piece.job == late));
}

#[test]
fn pieces_stay_in_their_data_centre_while_they_can_wait() {
    let now = Instant::now();
    let mut desk = desk(&[("t1", "a"), ("t2", "b")], now);
    let wanted = |aim_ms| StageJob {
        data_centre: Some(String::from("b")),
        ..job(1, 1_500_000, aim_ms, 9_000)
    };
    desk.submit(wanted(2_000), now);
    let first = calls(desk.take_actions(now));
    assert_eq!(first[0].1, "t2");
    desk.submit(wanted(2_000), now);
    assert!(
        calls(desk.take_actions(now)).is_empty(),
        "it waits for its own data centre"
    );
    desk.submit(wanted(400), now);
    let urgent = calls(desk.take_actions(now));
    assert_eq!(urgent[0].1, "t1", "one that cannot wait goes anywhere");
    assert_eq!(urgent[0].2.len(), 1);
}

#[test]
fn inputs_count_as_read_soon_after_the_last_call_began() {
    let now = Instant::now();
    let mut desk = desk(&[("t1", "a")], now);
    let number = desk.submit(job(2, 8_000, 1_000, 5_000), now);
    assert_eq!(calls(desk.take_actions(now)).len(), 1);
    let read = BatchAction::InputsRead { job: number };
    assert!(
        !desk
            .take_actions(now + Duration::from_millis(10))
            .contains(&read)
    );
    assert!(
        desk.take_actions(now + Duration::from_millis(100))
            .contains(&read)
    );
    assert!(
        !desk
            .take_actions(now + Duration::from_millis(200))
            .contains(&read),
        "told once"
    );
}

#[test]
fn what_is_made_for_a_cancelled_order_is_freed() {
    let now = Instant::now();
    let mut desk = desk(&[("t1", "a")], now);
    let number = desk.submit(job(2, 8_000, 1_000, 5_000), now);
    let batch_calls = calls(desk.take_actions(now));
    desk.cancel(number, now);
    let later = now + Duration::from_millis(250);
    desk.finish_call(batch_calls[0].0, made(&batch_calls[0].2), later);
    let steps = desk.take_actions(later + Duration::from_millis(50));
    let freed = steps.into_iter().find_map(|step| match step {
        BatchAction::Free { results, .. } => Some(results.len()),
        _ => None,
    });
    assert_eq!(freed, Some(2));
}

#[test]
fn a_failed_target_is_left_alone_and_its_pieces_go_elsewhere() {
    let now = Instant::now();
    let mut desk = desk(&[("t1", "a"), ("t2", "a")], now);
    desk.submit(job(1, 8_000, 1_000, 5_000), now);
    let first = calls(desk.take_actions(now));
    desk.fail_call(first[0].0, false, now);
    let second = calls(desk.take_actions(now));
    assert_eq!(second.len(), 1);
    assert_ne!(second[0].1, first[0].1);
}

#[test]
fn freed_results_are_named_to_their_maker() {
    let now = Instant::now();
    let mut desk = desk(&[("t1", "a")], now);
    let result = StageResult {
        maker: String::from("t1"),
        name: String::from("h"),
    };
    desk.free_results([result], now);
    assert!(desk.take_actions(now).is_empty(), "others may follow");
    let steps = desk.take_actions(now + Duration::from_millis(30));
    let freed = BatchAction::Free {
        target: String::from("t1"),
        results: vec![String::from("h")],
    };
    assert_eq!(steps, vec![freed]);
}

/// Load: half as much again as the pool can make, each order with an aim of 900 ms. Oldest first
/// by the time of a single piece would serve each order when it has just become late.
#[test]
fn under_overload_most_of_what_is_served_is_in_time() {
    let start = Instant::now();
    let mut desk = desk(&[("t1", "a")], start);
    let full = Duration::from_millis(368);
    let mut jobs: BTreeMap<u64, Instant> = BTreeMap::new();
    let (mut timely, mut late) = (0, 0);
    let mut running: Option<(u64, Vec<PieceWork>, Instant)> = None;
    for tick in 0..1_200 {
        let now = start + Duration::from_millis(10) * tick;
        // A call takes 36.8 ticks and eight pieces: 12 arrive in that time.
        if tick % 3 == 0 {
            let number = desk.submit(job(1, 8_000, 900, 4_000), now);
            jobs.insert(number, now + Duration::from_millis(900));
        }
        if let Some((call, work, _)) = running.take_if(|(.., until)| *until <= now) {
            desk.finish_call(call, made(&work), now);
        }
        for step in desk.take_actions(now) {
            match step {
                BatchAction::Call { call, work, .. } => running = Some((call, work, now + full)),
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

/// Load: all entries were killed, and what was made for them still fills the targets.
#[test]
fn room_that_others_fill_stops_only_what_needs_it() {
    let now = Instant::now();
    let mut desk = desk(&[("t1", "a")], now);
    desk.submit(job(2, 1_500_000, 1_000, 5_000), now);
    let first = calls(desk.take_actions(now));
    let later = now + Duration::from_millis(200);
    desk.finish_call(first[0].0, vec![PieceOutcome::NoRoom; 2], later);
    assert!(
        calls(desk.take_actions(later)).is_empty(),
        "the same would find no room again"
    );
    desk.submit(job(1, 8_000, 1_000, 5_000), later);
    let small = calls(desk.take_actions(later));
    assert_eq!(small.len(), 1, "a small result still fits");
    assert_eq!(small[0].2.len(), 1);
    let much_later = later + Duration::from_millis(400);
    desk.finish_call(small[0].0, made(&small[0].2), much_later);
    assert_eq!(
        calls(desk.take_actions(much_later))[0].2.len(),
        2,
        "it is tried again"
    );
}
