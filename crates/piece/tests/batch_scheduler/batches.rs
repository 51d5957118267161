use {
    crate::common::{all_made, calls, job, scheduler},
    piece::{BatchAction, StageJob, StageResult},
    std::time::{Duration, Instant},
};

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

#[test]
fn jobs_with_any_time_left_and_any_size_are_queued() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("t", "a")], now);
    let endless = StageJob {
        aim_left: Duration::MAX,
        time_left: Duration::MAX,
        result_bytes: u64::MAX,
        ..job(u16::MAX, 1, 1, 1)
    };
    scheduler.submit(endless.clone(), now);
    scheduler.submit(endless, now);
    let sound = scheduler.submit(job(1, 1_000, 900, 5_000), now);
    let started = calls(scheduler.take_actions(now));
    let pieces: Vec<_> = started.iter().flat_map(|(_, _, work)| work).collect();
    assert!(pieces.iter().any(|piece| piece.job == sound), "{pieces:?}");
}
