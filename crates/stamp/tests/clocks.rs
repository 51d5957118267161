//! Guards against clocks that go back when the wall clock does, against peers that push a clock
//! far ahead, and against merged timelines that show an effect before its cause.

use {
    proptest::{prelude::*, test_runner::RngSeed},
    stamp::{
        EventFilter, EventKind, EventRing, HybridClock, HybridTime, SkewClock, TimelineEvent,
        merge_events,
    },
    std::time::Duration,
};

/// First wall time of the tests, in microseconds since the Unix epoch.
const START_US: u64 = 1_700_000_000_000_000;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(0x7374_616d),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Pairs of a local and a peer's wall time, in microseconds.
fn wall_times() -> impl Strategy<Value = Vec<(u64, u64)>> {
    let wall = START_US..START_US + 600_000_000;
    prop::collection::vec((wall.clone(), wall), 1..200)
}

proptest! {
    #![proptest_config(config())]

    /// Each clock gets a peer's time and is then read at the same wall time. `HybridClock` uses the
    /// wall time as it is; `SkewClock` adds its estimate of how far peers are ahead.
    #[test]
    fn clocks_only_go_forward(wall_times in wall_times()) {
        let mut hybrid_clock = HybridClock::new();
        let mut skew_clock = SkewClock::new();
        // The latest readings: of the hybrid clock, of the skew clock.
        let mut last = (HybridTime::default(), HybridTime::default());
        for (wall_us, peer_wall_us) in wall_times {
            let peer = HybridTime::new(peer_wall_us, 3);
            let received = (hybrid_clock.observe(peer, wall_us), skew_clock.observe(peer, wall_us));
            if let (Ok(hybrid), Ok(skewed)) = received {
                prop_assert!(hybrid > last.0.max(peer) && skewed > last.1.max(peer));
            }
            let next = (hybrid_clock.now(wall_us), skew_clock.now(wall_us));
            prop_assert!(next.0 > last.0 && next.1 > last.1);
            last = next;
        }
    }

    /// `HybridClock` gets arbitrary peer times and a limit of 1 s. The limits of `SkewClock` are
    /// fixed: it accepts times up to 300 s ahead of its corrected wall time, and corrects by at
    /// most 300 s, so it is never more than 600 s ahead of the wall clock.
    #[test]
    fn peers_cannot_push_a_clock_beyond_its_limit(
        wall_times in prop::collection::vec(START_US..START_US + 1_000, 1..50),
        peers in prop::collection::vec(any::<(u64, u32)>(), 1..50),
    ) {
        let max_ahead = Duration::from_secs(1);
        let mut hybrid_clock = HybridClock::with_max_ahead(max_ahead);
        let mut skew_clock = SkewClock::new();
        for (wall_us, (physical_us, counter)) in wall_times.into_iter().zip(peers) {
            let _ = hybrid_clock.observe(HybridTime::new(physical_us, counter), wall_us);
            prop_assert!(hybrid_clock.now(wall_us).physical_us <= START_US + 1_000 + 1_000_000);
            // Up to 301 s ahead of the skew clock, so that some times exceed its limit of 300 s.
            let peer_us = skew_clock.now(wall_us).physical_us + physical_us % 301_000_000;
            let _ = skew_clock.observe(HybridTime::new(peer_us, counter), wall_us);
            prop_assert!(skew_clock.now(wall_us).physical_us <= START_US + 1_000 + 600_000_000);
        }
    }

    #[test]
    fn times_round_trip_through_text(physical_us in any::<u64>(), counter in any::<u32>()) {
        let time = HybridTime::new(physical_us, counter);
        prop_assert_eq!(time.to_string().parse(), Ok(time));
        prop_assert!(time.successor() > time || time.physical_us == u64::MAX);
    }

    #[test]
    fn merging_keeps_the_order_of_each_process(
        times in prop::collection::vec((0..5_u64, 0..3_usize), 0..60),
    ) {
        let mut lists = vec![Vec::new(); 3];
        let mut clocks = vec![HybridClock::new(); 3];
        for (wall_us, process) in times {
            let at = clocks[process].now(wall_us);
            let kind = EventKind::CallSent;
            lists[process].push(TimelineEvent::new(at, format!("p{process}"), kind));
        }
        let merged = merge_events(lists.clone());
        prop_assert!(merged.is_sorted_by_key(|event| (event.at, event.process.clone())));
        for (process, list) in lists.iter().enumerate() {
            let name = format!("p{process}");
            let kept: Vec<_> = merged.iter().filter(|event| event.process == name).collect();
            prop_assert_eq!(kept, list.iter().collect::<Vec<_>>());
        }
    }
}

#[test]
fn malformed_times_are_refused() {
    for text in ["", "5", "5.", ".5", "5.5.5", "-1.0", "1.4294967296"] {
        assert!(text.parse::<HybridTime>().is_err(), "{text}");
    }
}

#[test]
fn ring_keeps_the_latest_events_and_counts_dropped_ones() {
    let mut ring = EventRing::new(3);
    for physical_us in 0..10 {
        let event = TimelineEvent::new(HybridTime::new(physical_us, 0), "h1", EventKind::Strike);
        ring.push(event.with_request(format!("r{physical_us}")));
    }
    assert_eq!((ring.len(), ring.dropped()), (3, 7));
    let filter = EventFilter {
        request: Some(String::from("r8")),
        customer: None,
    };
    let found = ring.select(&filter);
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].at.physical_us, 8);
}
