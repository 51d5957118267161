use {
    crate::common::{all_made, calls, job, scheduler},
    piece::{BatchAction, PieceOutcome, PieceWork},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

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
