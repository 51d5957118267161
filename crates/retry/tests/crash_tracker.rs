//! Guards against a request that crashes target after target, and against refusing other requests
//! that happened to run on the same targets. Copies of the request run at once on several entries,
//! which learn of each other's strikes only by exchanging records.

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

const REQUEST_COUNT: usize = 5;
const TARGET_COUNT: usize = 4;
/// The request that crashes every target that runs it; all others are harmless.
const CRASHER: usize = 0;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(53),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn request(request_index: usize) -> CrashFingerprint {
    fingerprint("farm", "receipts", &request_index.to_le_bytes())
}

fn target(target_index: usize) -> String {
    format!("t{target_index}")
}

/// Entries in front of the same targets, with the calls that are running.
struct CrashTrial {
    now: Instant,
    trackers: Vec<CrashTracker>,
    /// Entry, request and target of each call.
    running: Vec<(usize, usize, usize)>,
    /// Number of times that a target has crashed.
    crash_count: usize,
}

impl CrashTrial {
    fn new(entry_count: usize) -> Self {
        Self {
            now: Instant::now(),
            trackers: vec![CrashTracker::new(CrashTrackerSettings::default()); entry_count],
            running: Vec::new(),
            crash_count: 0,
        }
    }

    fn start(&mut self, entry: usize, request_index: usize, target_index: usize) -> RunPermit {
        let target = target(target_index);
        let call = TrackedCall {
            fingerprint: request(request_index),
            stage: 1,
            target: &target,
        };
        let permit = self.trackers[entry].try_start_call(call, self.now);
        if permit == RunPermit::Granted {
            self.running.push((entry, request_index, target_index));
        }
        permit
    }

    /// Ends a running call. A call of the crasher kills its target, which ends all other calls
    /// there; any other call completes.
    fn end(&mut self, call_index: usize) {
        let call = self.running.swap_remove(call_index);
        if call.1 != CRASHER {
            self.finish(call, TrackedCallEnd::Whole);
            return;
        }
        self.crash_count += 1;
        self.finish(call, TrackedCallEnd::TargetDied);
        let (interrupted, rest) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|other| other.2 == call.2);
        self.running = rest;
        for other in interrupted {
            self.finish(other, TrackedCallEnd::TargetDied);
        }
    }

    fn finish(
        &mut self,
        (entry, request_index, target_index): (usize, usize, usize),
        end: TrackedCallEnd,
    ) {
        let target = target(target_index);
        let call = TrackedCall {
            fingerprint: request(request_index),
            stage: 1,
            target: &target,
        };
        self.trackers[entry].finish_call(call, end, self.now);
    }

    /// Merges the records of every entry into the trackers of all entries.
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
    fn third_target_never_crashes_and_harmless_requests_complete(
        steps in prop::collection::vec((any::<bool>(), 0..REQUEST_COUNT, 0..TARGET_COUNT), 1..200),
    ) {
        let mut trial = CrashTrial::new(1);
        for (is_start, request_index, target_index) in steps {
            trial.now += Duration::from_millis(100);
            // If a harmless request ran twice at once, each time on a target with the crasher, it
            // would look just like the crasher. So it is sent again only after its last call has
            // ended.
            let is_running = request_index != CRASHER
                && trial.running.iter().any(|call| call.1 == request_index);
            if is_start && !is_running {
                trial.start(0, request_index, target_index);
            } else if !trial.running.is_empty() {
                trial.end(request_index % trial.running.len());
            }
            prop_assert!(trial.crash_count <= 2);
        }
        while !trial.running.is_empty() {
            trial.end(0);
        }
        prop_assert!(trial.crash_count <= 2);
        for request_index in (0..REQUEST_COUNT).filter(|index| *index != CRASHER) {
            prop_assert_eq!(trial.start(0, request_index, 0), RunPermit::Granted);
            trial.end(0);
            prop_assert_eq!(trial.trackers[0].verdict(&request(request_index), trial.now), CrashVerdict::Clear);
        }
    }

    #[test]
    fn entries_that_exchange_records_agree_and_stop_the_crasher(
        steps in prop::collection::vec((0_usize..3, 0..REQUEST_COUNT, 0..TARGET_COUNT), 1..100),
    ) {
        let mut trial = CrashTrial::new(3);
        for (entry, request_index, target_index) in steps {
            trial.now += Duration::from_millis(100);
            if trial.start(entry, request_index, target_index) == RunPermit::Granted {
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
        prop_assert!(trial.crash_count <= 2);
    }
}

#[test]
fn crash_reported_by_two_entries_counts_once() {
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
fn old_record_does_not_restore_a_cleared_strike() {
    let mut trial = CrashTrial::new(2);
    trial.start(0, 1, 0);
    let call = trial.running.remove(0);
    trial.finish(call, TrackedCallEnd::TargetDied);
    let old_record = trial.trackers[0].records(1, trial.now).remove(0);
    assert_eq!(trial.start(0, 1, 1), RunPermit::Granted);
    trial.end(0);
    trial.trackers[0].merge(&old_record, trial.now);
    let verdict = trial.trackers[0].verdict(&request(1), trial.now);
    assert_eq!(verdict, CrashVerdict::Clear);
}

#[test]
fn completed_run_of_another_stage_clears_no_strike() {
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
    for target_index in [0, 1] {
        trial.start(0, CRASHER, target_index);
        trial.end(0);
    }
    let lifetime = CrashTrackerSettings::default().lifetime;
    let expires_at = trial.now + lifetime;
    while trial.now < expires_at {
        trial.gossip();
        assert_eq!(trial.start(1, CRASHER, 2), RunPermit::Refused);
        // A merged record expires slightly later at its receiver than at its sender.
        trial.now += Duration::from_secs(10);
    }
    trial.now = expires_at + Duration::from_secs(5);
    for tracker in &trial.trackers {
        assert_eq!(
            tracker.verdict(&request(CRASHER), trial.now),
            CrashVerdict::Clear
        );
    }
}

#[test]
fn memory_is_bounded_and_the_oldest_record_is_evicted_first() {
    let settings = CrashTrackerSettings {
        records: 10,
        ..CrashTrackerSettings::default()
    };
    let mut now = Instant::now();
    let mut tracker = CrashTracker::new(settings);
    for request_index in 0..50 {
        now += Duration::from_secs(1);
        let call = TrackedCall {
            fingerprint: request(request_index),
            stage: 0,
            target: "t1",
        };
        tracker.try_start_call(call, now);
        tracker.finish_call(call, TrackedCallEnd::TargetDied, now);
        assert!(tracker.len() <= 10);
    }
    // Of 50 requests, the last 10 are kept.
    assert_eq!(tracker.verdict(&request(39), now), CrashVerdict::Clear);
    assert_eq!(tracker.verdict(&request(40), now), CrashVerdict::Suspect);
}

#[test]
fn copies_on_one_target_get_one_strike_for_its_death() {
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
fn request_struck_by_a_peer_is_held_while_the_peer_retries_it() {
    let mut trial = CrashTrial::new(2);
    trial.start(0, CRASHER, 0);
    trial.end(0);
    trial.gossip();
    let peer_hold = CrashTrackerSettings::default().peer_hold;
    let struck_at = trial.now;
    while trial.now < struck_at + peer_hold {
        let remaining = trial.trackers[1].remaining_hold(&request(CRASHER), trial.now);
        assert_eq!(remaining, Some(struck_at + peer_hold - trial.now));
        assert_eq!(trial.start(1, CRASHER, 1), RunPermit::Later);
        trial.now += Duration::from_millis(100);
        // A strike that is already known does not extend the hold.
        trial.gossip();
    }
    assert_eq!(
        trial.trackers[1].remaining_hold(&request(CRASHER), trial.now),
        None
    );
    assert_eq!(trial.start(1, CRASHER, 1), RunPermit::Granted);
}

#[test]
fn request_struck_by_this_entry_is_held_until_peers_can_report() {
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
    let other_target_call = TrackedCall {
        target: "t2",
        ..call
    };
    assert_eq!(
        tracker.try_start_call(other_target_call, now),
        RunPermit::Later
    );
    assert_eq!(
        tracker.try_start_call(other_target_call, now + own_hold),
        RunPermit::Granted
    );
}

#[test]
fn refused_request_is_not_held() {
    let mut trial = CrashTrial::new(2);
    for target_index in [0, 1] {
        trial.start(0, CRASHER, target_index);
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
    fn copies_on_other_entries_cause_at_most_one_crash_after_the_first(
        steps in prop::collection::vec((any::<bool>(), 0_usize..4, 0..TARGET_COUNT), 1..100),
    ) {
        let mut trial = CrashTrial::new(4);
        trial.start(0, CRASHER, 0);
        trial.end(0);
        trial.gossip();
        for (is_start, entry, target_index) in steps {
            trial.now += Duration::from_millis(15);
            // Target 0 died first and gets no further calls.
            if is_start && target_index > 0 {
                trial.start(entry, CRASHER, target_index);
            } else if !trial.running.is_empty() {
                trial.end(entry % trial.running.len());
                trial.gossip();
            }
        }
        prop_assert!(trial.crash_count <= 2);
    }
}
