//! Targets whose machines are busy with the work of others for some hundred milliseconds at a time.

use {
    crate::common::{all_made, calls, job, scheduler},
    piece::{BatchAction, MachinePace},
    std::time::{Duration, Instant},
};

/// Time of a call with four pieces.
const CALL_TIME: Duration = Duration::from_millis(284);
/// Factor by which work takes longer on a busy machine.
const BUSY_FACTOR: f64 = 2.5;
/// Time for which a machine stays busy.
const BUSY_TIME: Duration = Duration::from_millis(600);

/// Four targets take turns at being busy, and say so in their answers if `is_told`. Returns the time
/// of all calls together.
fn run_turns(is_told: bool) -> Duration {
    let start = Instant::now();
    let targets = [("t0", "a"), ("t1", "a"), ("t2", "a"), ("t3", "a")];
    let mut scheduler = scheduler(&targets, start);
    let mut now = start;
    let mut total = Duration::ZERO;
    for turn in 0..200_usize {
        let busy = (turn * 100 / BUSY_TIME.as_millis() as usize) % targets.len();
        for (number, (target, _)) in targets.iter().enumerate().filter(|_| is_told) {
            let percent = if number == busy {
                BUSY_FACTOR * 100.0
            } else {
                100.0
            };
            scheduler.set_pace(target, MachinePace::from_percent(percent, now).unwrap());
        }
        scheduler.submit(job(4, 1_000, 900, 4_000), now);
        let actions = scheduler.take_actions(now);
        for (call, target, work) in calls(actions) {
            let is_busy = target == targets[busy].0;
            let time = CALL_TIME.mul_f64(if is_busy { BUSY_FACTOR } else { 1.0 });
            total += time;
            scheduler.finish_call(call, all_made(&work), now + time);
        }
        for action in scheduler.take_actions(now) {
            if let BatchAction::Made { results, .. } = action {
                scheduler.free_results(results, now);
            }
        }
        now += Duration::from_millis(100);
    }
    total
}

#[test]
fn calls_go_to_targets_whose_machines_are_not_busy() {
    let (told, untold) = (run_turns(true), run_turns(false));
    assert!(told < CALL_TIME * 210, "{told:?}");
    assert!(told < untold, "{told:?}, without figures {untold:?}");
}

/// Figures that are of no use change nothing.
#[test]
fn absurd_figures_are_not_used() {
    let now = Instant::now();
    for percent in [0.0, -3.0, 1e12, f64::NAN, f64::INFINITY] {
        assert!(
            MachinePace::from_percent(percent, now).is_none(),
            "{percent}"
        );
    }
}

/// All machines are busy at once; the target whose figure is old draws no more than one call.
#[test]
fn an_old_figure_draws_no_herd() {
    let now = Instant::now();
    let mut scheduler = scheduler(&[("t0", "a"), ("t1", "a")], now);
    scheduler.set_pace("t0", MachinePace::from_percent(250.0, now).unwrap());
    for _ in 0..4 {
        scheduler.submit(job(8, 1_000, 900, 4_000), now);
    }
    let first = calls(scheduler.take_actions(now));
    let targets: Vec<&str> = first.iter().map(|(_, target, _)| target.as_str()).collect();
    assert_eq!(targets, ["t1", "t0"]);
}
