//! Tests when refused callers are told to come back.

use {
    limit::ReturnLine,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Time in which the server has room for one request.
const SERVICE_TIME: Duration = Duration::from_millis(10);
/// Number of requests that may wait at the server; further ones are refused.
const QUEUE_LENGTH: u32 = 20;

/// Replays a burst of 2.5 times the capacity for 6 s, after which nobody new comes, and returns how
/// often a caller was refused for each caller that was refused at all. `delay` returns the time
/// after which a refused caller comes back, given the time that the queue needs.
fn refusals_per_caller(mut delay: impl FnMut(Duration, Instant) -> Duration) -> f64 {
    let start = Instant::now();
    let mut arrivals: BTreeMap<(Duration, u32), u32> = BTreeMap::new();
    for caller in 0..1_500 {
        arrivals.insert((SERVICE_TIME.mul_f64(0.4) * caller, caller), 0);
    }
    let mut free_at = Duration::ZERO;
    let (mut refused_callers, mut refusals) = (0, 0);
    while let Some(((at, caller), times_refused)) = arrivals.pop_first() {
        free_at = free_at.max(at);
        let queue_time = free_at - at;
        if queue_time < SERVICE_TIME * QUEUE_LENGTH {
            free_at += SERVICE_TIME;
            continue;
        }
        refused_callers += u32::from(times_refused == 0);
        refusals += 1;
        let back_in = delay(queue_time, start + at);
        arrivals.insert((at + back_in, caller), times_refused + 1);
        assert!(refusals < 200_000, "callers come back in vain");
    }
    f64::from(refusals) / f64::from(refused_callers)
}

/// Load pattern: a burst of 2.5 times the capacity for 6 s; all refused callers come back.
#[test]
fn refused_callers_find_room_when_they_come_back() {
    let shortfall = refusals_per_caller(|queue_time, _| queue_time / 2);
    let mut line = ReturnLine::default();
    let in_line =
        refusals_per_caller(|queue_time, now| line.take_slot("all", queue_time, SERVICE_TIME, now));
    assert!(in_line < 1.3, "{in_line:.2} refusals for each caller");
    assert!(in_line < shortfall / 3.0, "{in_line:.2} of {shortfall:.2}");
}

#[test]
fn no_caller_is_told_to_come_back_before_one_that_was_refused_earlier() {
    let now = Instant::now();
    let mut line = ReturnLine::default();
    let mut last = Duration::ZERO;
    for number in 0..200 {
        let later = now + Duration::from_millis(number);
        let delay = line.take_slot("farm", Duration::from_millis(50), SERVICE_TIME, later);
        let back_at = later + delay - now;
        assert!(back_at > last, "slot {number}");
        last = back_at;
    }
}

/// Load pattern: a flood by one customer.
#[test]
fn a_flood_by_one_customer_does_not_put_others_off() {
    let now = Instant::now();
    let mut line = ReturnLine::default();
    for _ in 0..1_000 {
        line.take_slot("flood", Duration::ZERO, SERVICE_TIME, now);
    }
    let other = line.take_slot("farm", Duration::ZERO, SERVICE_TIME, now);
    assert!(other <= SERVICE_TIME, "{other:?}");
}

#[test]
fn lines_end_when_their_slots_have_passed() {
    let now = Instant::now();
    let mut line = ReturnLine::default();
    for _ in 0..100 {
        line.take_slot("farm", Duration::ZERO, SERVICE_TIME, now);
    }
    let later = now + Duration::from_secs(10);
    let delay = line.take_slot("farm", Duration::ZERO, SERVICE_TIME, later);
    assert_eq!(delay, Duration::ZERO);
}
