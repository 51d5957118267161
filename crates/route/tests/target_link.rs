//! Guards against an entry that takes faults of targets for a fault of its own links, or the other way
//! round.

use {
    proptest::prelude::*,
    route::TargetLink,
    std::time::{Duration, Instant},
};

proptest! {
    /// The links count as lost only after a check that reached nobody, and never longer than until
    /// the first one that most targets answer.
    #[test]
    fn links_are_lost_and_regained_by_checks(
        steps in prop::collection::vec((0..500_u64, 0..6_u8, 0..5_usize), 1..200),
    ) {
        let mut now = Instant::now();
        let mut link = TargetLink::default();
        for (pause, step, number) in steps {
            now += Duration::from_millis(pause);
            let was_lost = link.is_lost();
            match step {
                0 => link.record_reached(now),
                1 => link.record_answer(now),
                2 => link.record_silence(&format!("t{number}"), now - Duration::from_millis(pause), now),
                3 => link.record_unreached(&format!("t{number}"), now),
                _ if link.is_check_due(now) => {
                    let reached = number;
                    link.record_check(reached, 4, now);
                    prop_assert_eq!(link.is_lost(), match was_lost {
                        true => reached <= 2,
                        false => reached == 0,
                    });
                    continue;
                }
                _ => {}
            }
            prop_assert_eq!(link.is_lost(), was_lost);
        }
    }

    /// One target that fails or is silent, however often, is no reason for a check.
    #[test]
    fn one_target_casts_no_doubt(pauses in prop::collection::vec(0..500_u64, 1..50)) {
        let mut now = Instant::now();
        let mut link = TargetLink::default();
        for pause in pauses {
            let called_at = now;
            now += Duration::from_millis(pause);
            link.record_silence("t1", called_at, now);
            link.record_unreached("t1", now);
            prop_assert!(!link.is_check_due(now));
        }
    }
}
