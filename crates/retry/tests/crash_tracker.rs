//! A request that crashes its targets is stopped at the second; innocent neighbours finish.

use {
    proptest::{prelude::*, test_runner::RngSeed},
    retry::{
        CrashFingerprint, CrashTracker, CrashTrackerSettings, CrashVerdict, RunPermit, TrackedCall,
        TrackedCallEnd, fingerprint,
    },
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
};

const REQUESTS: usize = 5;
const TARGETS: usize = 4;
/// The request that crashes every target that runs it; all others are innocent.
const CRASHER: usize = 0;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(53),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn request(number: usize) -> CrashFingerprint {
    fingerprint("farm", "receipts", &number.to_le_bytes())
}

fn target(number: usize) -> String {
    format!("t{number}")
}

/// Entries before the same targets, with what runs where.
struct CrashTrial {
    now: Instant,
    trackers: Vec<CrashTracker>,
    /// Entry, request and target of each call.
    running: Vec<(usize, usize, usize)>,
    crashes: usize,
}

impl CrashTrial {
    fn new(entries: usize) -> Self {
        Self {
            now: Instant::now(),
            trackers: vec![CrashTracker::new(CrashTrackerSettings::default()); entries],
            running: Vec::new(),
            crashes: 0,
        }
    }

    fn start(&mut self, entry: usize, number: usize, place: usize) -> RunPermit {
        let target = target(place);
        let call = TrackedCall {
            fingerprint: request(number),
            stage: 1,
            target: &target,
        };
        let permit = self.trackers[entry].try_start_call(call, self.now);
        if permit == RunPermit::Granted {
            self.running.push((entry, number, place));
        }
        permit
    }

    /// Ends a call as its request does: the crasher takes its target along.
    fn end(&mut self, place: usize) {
        let call = self.running.swap_remove(place);
        if call.1 != CRASHER {
            self.finish(call, TrackedCallEnd::Whole);
            return;
        }
        self.crashes += 1;
        self.finish(call, TrackedCallEnd::TargetDied);
        let (died, rest) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|other| other.2 == call.2);
        self.running = rest;
        for neighbour in died {
            self.finish(neighbour, TrackedCallEnd::TargetDied);
        }
    }

    fn finish(&mut self, (entry, number, place): (usize, usize, usize), end: TrackedCallEnd) {
        let target = target(place);
        let call = TrackedCall {
            fingerprint: request(number),
            stage: 1,
            target: &target,
        };
        self.trackers[entry].finish_call(call, end, self.now);
    }

    /// Every entry tells every other what it knows.
    fn gossip(&mut self) {
        for from in 0..self.trackers.len() {
            let records = self.trackers[from].records(100, self.now);
            for tracker in &mut self.trackers {
                for record in &records {
                    tracker.merge(record, self.now);
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_third_target_crashes_and_innocents_finish(
        steps in prop::collection::vec((any::<bool>(), 0..REQUESTS, 0..TARGETS), 1..200),
    ) {
        let mut trial = CrashTrial::new(1);
        for (start, number, place) in steps {
            trial.now += Duration::from_millis(100);
            // An innocent that runs twice at once, each time beside the crasher, can't be told
            // from it; so an innocent is sent again only when its last call has ended.
            let again = number != CRASHER && trial.running.iter().any(|call| call.1 == number);
            if start && !again {
                trial.start(0, number, place);
            } else if !trial.running.is_empty() {
                trial.end(number % trial.running.len());
            }
            prop_assert!(trial.crashes <= 2);
        }
        while !trial.running.is_empty() {
            trial.end(0);
        }
        prop_assert!(trial.crashes <= 2);
        for number in (0..REQUESTS).filter(|number| *number != CRASHER) {
            prop_assert_eq!(trial.start(0, number, 0), RunPermit::Granted);
            trial.end(0);
            prop_assert_eq!(trial.trackers[0].verdict(&request(number), trial.now), CrashVerdict::Clear);
        }
    }

    #[test]
    fn entries_that_hear_of_each_other_stop_a_request_together(
        steps in prop::collection::vec((0_usize..3, 0..REQUESTS, 0..TARGETS), 1..100),
    ) {
        let mut trial = CrashTrial::new(3);
        for (entry, number, place) in steps {
            trial.now += Duration::from_millis(100);
            if trial.start(entry, number, place) == RunPermit::Granted {
                trial.end(0);
            }
            trial.gossip();
            let verdicts: BTreeSet<u8> = trial
                .trackers
                .iter()
                .map(|tracker| tracker.verdict(&request(CRASHER), trial.now) as u8)
                .collect();
            prop_assert_eq!(verdicts.len(), 1);
        }
        prop_assert!(trial.crashes <= 2);
    }
}

#[test]
fn a_crash_that_two_entries_report_counts_once() {
    let mut trial = CrashTrial::new(2);
    for entry in [0, 1] {
        assert_eq!(trial.start(entry, 1, 0), RunPermit::Granted);
    }
    for call in std::mem::take(&mut trial.running) {
        trial.finish(call, TrackedCallEnd::TargetDied);
    }
    trial.gossip();
    for tracker in &trial.trackers {
        assert_eq!(
            tracker.verdict(&request(1), trial.now),
            CrashVerdict::Suspect
        );
    }
}

#[test]
fn an_old_record_does_not_bring_a_cleared_strike_back() {
    let mut trial = CrashTrial::new(2);
    trial.start(0, 1, 0);
    let call = trial.running.remove(0);
    trial.finish(call, TrackedCallEnd::TargetDied);
    let old = trial.trackers[0].records(1, trial.now).remove(0);
    assert_eq!(trial.start(0, 1, 1), RunPermit::Granted);
    trial.end(0);
    trial.trackers[0].merge(&old, trial.now);
    let verdict = trial.trackers[0].verdict(&request(1), trial.now);
    assert_eq!(verdict, CrashVerdict::Clear);
}

#[test]
fn a_whole_run_of_another_stage_clears_nothing() {
    let now = Instant::now();
    let mut tracker = CrashTracker::new(CrashTrackerSettings::default());
    let call = |stage| TrackedCall {
        fingerprint: request(1),
        stage,
        target: "t1",
    };
    for (stage, end) in [
        (0, TrackedCallEnd::Whole),
        (2, TrackedCallEnd::TargetDied),
        (0, TrackedCallEnd::Whole),
    ] {
        assert_eq!(tracker.try_start_call(call(stage), now), RunPermit::Granted);
        tracker.finish_call(call(stage), end, now);
    }
    assert_eq!(tracker.verdict(&request(1), now), CrashVerdict::Suspect);
}

#[test]
fn strikes_expire_and_peers_cannot_keep_them_alive() {
    let mut trial = CrashTrial::new(2);
    for place in [0, 1] {
        trial.start(0, CRASHER, place);
        trial.end(0);
    }
    let lifetime = CrashTrackerSettings::default().lifetime;
    let end = trial.now + lifetime;
    while trial.now < end {
        trial.gossip();
        assert_eq!(trial.start(1, CRASHER, 2), RunPermit::Refused);
        // A record is a little later at its receiver than at its sender.
        trial.now += Duration::from_secs(10);
    }
    trial.now = end + Duration::from_secs(5);
    for tracker in &trial.trackers {
        assert_eq!(
            tracker.verdict(&request(CRASHER), trial.now),
            CrashVerdict::Clear
        );
    }
}

#[test]
fn memory_is_bounded_and_the_oldest_record_goes_first() {
    let settings = CrashTrackerSettings {
        records: 10,
        ..CrashTrackerSettings::default()
    };
    let mut now = Instant::now();
    let mut tracker = CrashTracker::new(settings);
    for number in 0..50 {
        now += Duration::from_secs(1);
        let call = TrackedCall {
            fingerprint: request(number),
            stage: 0,
            target: "t1",
        };
        tracker.try_start_call(call, now);
        tracker.finish_call(call, TrackedCallEnd::TargetDied, now);
        assert!(tracker.len() <= 10);
    }
    assert_eq!(tracker.verdict(&request(39), now), CrashVerdict::Clear);
    assert_eq!(tracker.verdict(&request(40), now), CrashVerdict::Suspect);
}

#[test]
fn copies_on_one_target_share_one_strike_for_its_death() {
    let now = Instant::now();
    let mut tracker = CrashTracker::new(CrashTrackerSettings::default());
    let request = fingerprint("farm", "read", b"the same words");
    let call = TrackedCall {
        fingerprint: request,
        stage: 0,
        target: "t1",
    };
    for _ in 0..3 {
        assert_eq!(tracker.try_start_call(call, now), RunPermit::Granted);
    }
    for _ in 0..3 {
        tracker.finish_call(call, TrackedCallEnd::TargetDied, now);
    }
    assert_eq!(tracker.verdict(&request, now), CrashVerdict::Suspect);
    assert_eq!(tracker.try_start_call(call, now), RunPermit::Granted);
    tracker.finish_call(call, TrackedCallEnd::TargetDied, now);
    assert_eq!(tracker.verdict(&request, now), CrashVerdict::Refused);
}

#[test]
fn a_request_that_a_peer_struck_is_held_until_the_peer_has_tried_it_again() {
    let mut trial = CrashTrial::new(2);
    trial.start(0, CRASHER, 0);
    trial.end(0);
    trial.gossip();
    let hold = CrashTrackerSettings::default().peer_hold;
    let struck = trial.now;
    while trial.now < struck + hold {
        let left = trial.trackers[1].remaining_hold(&request(CRASHER), trial.now);
        assert_eq!(left, Some(struck + hold - trial.now));
        assert_eq!(trial.start(1, CRASHER, 1), RunPermit::Later);
        trial.now += Duration::from_millis(100);
        // What is known already prolongs nothing.
        trial.gossip();
    }
    assert_eq!(
        trial.trackers[1].remaining_hold(&request(CRASHER), trial.now),
        None
    );
    assert_eq!(trial.start(1, CRASHER, 1), RunPermit::Granted);
}

#[test]
fn a_request_that_this_entry_struck_waits_for_word_of_peers() {
    let now = Instant::now();
    let own_hold = Duration::from_millis(100);
    let mut tracker = CrashTracker::new(CrashTrackerSettings {
        own_hold,
        ..CrashTrackerSettings::default()
    });
    let call = TrackedCall {
        fingerprint: request(1),
        stage: 0,
        target: "t1",
    };
    assert_eq!(tracker.try_start_call(call, now), RunPermit::Granted);
    tracker.finish_call(call, TrackedCallEnd::TargetDied, now);
    let other = TrackedCall {
        target: "t2",
        ..call
    };
    assert_eq!(tracker.try_start_call(other, now), RunPermit::Later);
    assert_eq!(
        tracker.try_start_call(other, now + own_hold),
        RunPermit::Granted
    );
}

#[test]
fn a_refused_request_is_not_held() {
    let mut trial = CrashTrial::new(2);
    for place in [0, 1] {
        trial.start(0, CRASHER, place);
        trial.end(0);
    }
    trial.gossip();
    assert_eq!(
        trial.trackers[1].remaining_hold(&request(CRASHER), trial.now),
        None
    );
    assert_eq!(trial.start(1, CRASHER, 2), RunPermit::Refused);
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn copies_on_other_entries_after_the_first_crash_add_one_crash_at_most(
        steps in prop::collection::vec((any::<bool>(), 0_usize..4, 0..TARGETS), 1..100),
    ) {
        let mut trial = CrashTrial::new(4);
        trial.start(0, CRASHER, 0);
        trial.end(0);
        trial.gossip();
        for (start, entry, place) in steps {
            trial.now += Duration::from_millis(15);
            // The dead target is not asked again.
            if start && place > 0 {
                trial.start(entry, CRASHER, place);
            } else if !trial.running.is_empty() {
                trial.end(entry % trial.running.len());
                trial.gossip();
            }
        }
        prop_assert!(trial.crashes <= 2);
    }
}
