//! Guards against targets that get more calls than the limit that they named to all entries, and
//! against limits that last longer than they are named.

use {
    limit::{LimitDesk, LimitWord, TargetLimits, call_interval},
    proptest::prelude::*,
    std::time::{Duration, Instant},
};

const SECOND: Duration = Duration::from_secs(1);
/// Time over which a limit holds.
const WINDOW: Duration = Duration::from_secs(4);
/// Time for which two entries may both take themselves for the owner of a target.
const MAX_OVERLAP: Duration = Duration::from_secs(2);

#[test]
fn the_last_word_counts_whichever_entry_it_was_said_to() {
    let now = Instant::now();
    let (mut one, mut other) = (TargetLimits::default(), TargetLimits::default());
    assert!(one.record("t1", 7, LimitWord::Every(SECOND), now, now));
    let notice = one.notice("t1", 7, now).unwrap();
    assert!(other.merge(&notice, now));
    assert_eq!(other.interval("t1", 7), Some(SECOND));
    let later = now + SECOND;
    assert!(other.record("t1", 7, LimitWord::Unlimited, later, later));
    let ended = other.notice("t1", 7, later).unwrap();
    assert!(one.merge(&ended, later));
    assert_eq!(one.interval("t1", 7), None);
    // What was said before arrives late.
    assert!(!other.merge(&notice, now));
    assert_eq!(other.interval("t1", 7), None);
}

/// Answers on different connections overtake each other.
#[test]
fn an_answer_to_an_earlier_call_does_not_end_a_limit() {
    let now = Instant::now();
    let mut limits = TargetLimits::default();
    limits.record("t1", 7, LimitWord::Every(SECOND), now, now + SECOND);
    assert!(!limits.record("t1", 7, LimitWord::Unlimited, now, now + 2 * SECOND));
    assert_eq!(limits.interval("t1", 7), Some(SECOND));
    assert!(!limits.record("t1", 7, LimitWord::Unreadable, now, now + 3 * SECOND));
    assert_eq!(limits.interval("t1", 7), Some(SECOND));
}

#[test]
fn strange_limits_have_a_meaning() {
    let longest = Duration::from_secs(5);
    assert_eq!(call_interval(0.0), Some(longest));
    assert_eq!(call_interval(-7.5), Some(longest));
    assert_eq!(call_interval(1e-300), Some(longest));
    assert_eq!(call_interval(1e300), Some(Duration::ZERO));
    assert_eq!(call_interval(f64::INFINITY), None);
}

#[test]
fn callers_that_are_turned_away_are_spread() {
    let now = Instant::now();
    let mut desk = LimitDesk::default();
    let mut waits = Vec::new();
    for _ in 0..4 {
        waits.push(desk.try_take("t1", SECOND, now).unwrap_err());
    }
    assert!(waits.windows(2).all(|pair| pair[1] >= pair[0] + SECOND));
}

proptest! {
    /// Two owners give out calls at the same time for a while, as when entries disagree on who owns
    /// the target, and each call arrives up to 600 ms after it was given out.
    #[test]
    fn calls_stay_under_the_limit_when_its_owner_changes(
        per_second in 0.1..200.0_f64,
        attempts in prop::collection::vec((1..40_u64, 0..600_u64), 200..1_500),
    ) {
        let start = Instant::now();
        let interval = call_interval(per_second).unwrap();
        let (mut old, mut new) = (LimitDesk::default(), LimitDesk::default());
        let changes_at = start + Duration::from_secs(5);
        let mut now = start;
        let mut arrivals = Vec::new();
        for (pause_ms, delay_ms) in attempts {
            now += Duration::from_millis(pause_ms);
            let asks_old = now < changes_at + MAX_OVERLAP;
            let asks_new = now >= changes_at;
            if asks_old && old.try_take("t1", interval, now).is_ok() {
                arrivals.push(now + Duration::from_millis(delay_ms));
            }
            if asks_new && new.try_take("t1", interval, now).is_ok() {
                arrivals.push(now + Duration::from_millis(delay_ms));
            }
        }
        arrivals.sort();
        let allowed = (1.5 * WINDOW.as_secs_f64() * per_second) as usize + 5;
        for first in &arrivals {
            let in_window = arrivals.iter().filter(|at| *at >= first && **at < *first + WINDOW);
            prop_assert!(in_window.count() <= allowed);
        }
    }
}

#[test]
fn an_interval_of_any_length_is_kept_to() {
    let now = Instant::now();
    let mut desk = LimitDesk::default();
    for interval in [
        Duration::MAX,
        Duration::from_secs(u64::MAX / 2),
        Duration::ZERO,
    ] {
        for _ in 0..3 {
            let taken = desk.try_take("t1", interval, now);
            assert!(
                taken.is_ok() == interval.is_zero() || interval.is_zero(),
                "{interval:?}"
            );
        }
    }
}
