//! Table of cases for what crashes are laid to: requests that crash all targets must be stopped, and
//! sound ones that ran on targets which crashed for another reason must not be.

use {
    retry::{
        CRASH_LIFETIME, PartKey, PartNews, PartProof, PartTracker, PartVerdict, fingerprint,
        request_key,
    },
    std::time::{Duration, Instant},
};

fn key(path: &str) -> PartKey {
    request_key(&fingerprint("farm", path, b""))
}

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn hold_time(tracker: &PartTracker, keys: &[PartKey], now: Instant) -> Duration {
    match tracker.verdict(keys, now) {
        PartVerdict::Held { retry_in, .. } => retry_in,
        PartVerdict::Clear | PartVerdict::Trial { .. } => Duration::ZERO,
    }
}

fn is_clear(tracker: &PartTracker, keys: &[PartKey], now: Instant) -> bool {
    tracker.verdict(keys, now) == PartVerdict::Clear
}

/// Guards against sound lookups of one path, which are one request by their content, being refused at every
/// entry for a minute after two targets crashed under them: review/15.
#[test]
fn an_answer_clears_a_request_that_two_targets_died_under_on_every_entry() {
    let now = Instant::now();
    let lookup = key("/view");
    let (mut one, mut other) = (PartTracker::default(), PartTracker::default());
    // Each entry hears of the crash that the other one saw.
    for tracker in [&mut one, &mut other] {
        tracker.record_crash(100, &[lookup], false, now);
        tracker.record_crash(101, &[lookup], false, now);
        assert!(tracker.is_suspect(lookup) && !is_clear(tracker, &[lookup], now));
    }
    // One that was under way elsewhere ends whole.
    let later = now + Duration::from_millis(400);
    one.record_answer(&[lookup], later);
    let proof = PartProof {
        part: lookup,
        age: Duration::ZERO,
    };
    let news = PartNews {
        crashes: Vec::new(),
        proofs: vec![proof],
    };
    other.merge(&news, later);
    for tracker in [&mut one, &mut other] {
        assert!(is_clear(tracker, &[lookup], later));
        // The crash is reported once more.
        tracker.record_crash(100, &[lookup], false, later + secs(40));
        assert!(is_clear(tracker, &[lookup], later + secs(40)));
    }
}

/// Guards against news that grow with the requests that end with their targets: those are told by other means.
#[test]
fn whole_requests_are_in_no_news_and_change_no_digest() {
    let now = Instant::now();
    let mut tracker = PartTracker::default();
    let digest = tracker.digest();
    tracker.record_crash(100, &[key("/view")], false, now);
    assert!(tracker.news(CRASH_LIFETIME, now).is_empty());
    assert_eq!(tracker.digest(), digest);
    tracker.record_crash(101, &[7, key("/ask")], false, now);
    assert_eq!(tracker.news(CRASH_LIFETIME, now).crashes[0].parts, [7]);
}

/// A request that nobody answers meanwhile is tried, by one entry at a time.
#[test]
fn a_request_that_two_targets_died_under_is_tried_again() {
    let now = Instant::now();
    let lookup = key("/view");
    let mut tracker = PartTracker::default();
    tracker.record_crash(100, &[lookup], false, now);
    tracker.record_crash(101, &[lookup], false, now);
    assert!(hold_time(&tracker, &[lookup], now) <= secs(5));
    let verdict = tracker.verdict(&[lookup], now + secs(6));
    let parts = vec![lookup];
    assert_eq!(verdict, PartVerdict::Trial { parts });
    tracker.record_answer(&[lookup], now + secs(7));
    assert!(is_clear(&tracker, &[lookup], now + secs(7)));
}

/// Guards against a request that goes on crashing targets each time a minute has passed: over a day of ten minutes
/// it reaches no more than three after the third.
#[test]
fn a_request_that_crashes_each_target_reaches_few_of_them() {
    let start = Instant::now();
    let crasher = key("/crash");
    let mut tracker = PartTracker::default();
    let mut crash_times = Vec::new();
    for step in 0..600_u64 {
        let now = start + secs(step);
        let is_trial = match tracker.verdict(&[crasher], now) {
            PartVerdict::Held { .. } => continue,
            PartVerdict::Clear => false,
            PartVerdict::Trial { .. } => true,
        };
        crash_times.push(step);
        tracker.record_crash(step, &[crasher], is_trial, now);
    }
    let late = crash_times.iter().skip(3);
    assert!(late.count() <= 3, "{crash_times:?}");
}

/// Neighbours of a crasher on the targets that it crashes are cleared by their own answers, it is not.
#[test]
fn neighbours_of_a_crashing_request_are_not_taken_for_it() {
    let now = Instant::now();
    let (crasher, neighbour) = (key("/crash"), key("/view"));
    let mut tracker = PartTracker::default();
    for crash in 0..2 {
        tracker.record_crash(crash, &[crasher, neighbour], false, now);
    }
    tracker.record_answer(&[neighbour], now + secs(1));
    assert!(is_clear(&tracker, &[neighbour], now + secs(1)));
    assert!(!is_clear(&tracker, &[crasher], now + secs(1)));
}

/// A part of a prompt that many requests share is to blame rather than each of them, and its first trial comes
/// sooner than that of a single request.
#[test]
fn a_crashing_part_is_blamed_before_the_requests_that_have_it() {
    let now = Instant::now();
    let part = 7;
    let mut tracker = PartTracker::default();
    for (crash, path) in ["/ask/1", "/ask/2", "/ask/3"].into_iter().enumerate() {
        tracker.record_crash(crash as u64, &[part, key(path)], false, now);
    }
    assert!(is_clear(&tracker, &[key("/ask/1")], now));
    assert!(hold_time(&tracker, &[part, key("/ask/4")], now) <= secs(1));
}
