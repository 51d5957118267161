//! Guards against places at a brittle target that are given out twice, or lost.

use {
    limit::RoomDesk,
    proptest::prelude::*,
    std::time::{Duration, Instant},
};

const SLOTS: u32 = 4;

proptest! {
    /// Never more calls run than the target has slots, and all places come back.
    #[test]
    fn no_more_calls_run_than_there_are_slots(
        steps in prop::collection::vec((0..400_u64, 0..3_u8), 1..200),
    ) {
        let start = Instant::now();
        let mut now = start;
        let mut desk = RoomDesk::default();
        // The times at which the running calls began.
        let mut running: Vec<Instant> = Vec::new();
        for (pause, step) in steps {
            now += Duration::from_millis(pause);
            // An entry that is gone gives nothing back; its call has ended.
            running.retain(|begun_at| now < *begun_at + Duration::from_secs(8));
            match step {
                0 if !running.is_empty() => {
                    let held = now - running.remove(0);
                    desk.release("t", held, pause.is_multiple_of(5), now);
                }
                _ => {
                    if desk.try_take("t", SLOTS, now).is_ok() {
                        running.push(now);
                    }
                }
            }
            prop_assert!(running.len() <= SLOTS as usize);
        }
        let later = now + Duration::from_secs(20);
        let taken = (0..SLOTS).filter(|_| desk.try_take("t", SLOTS, later).is_ok());
        prop_assert_eq!(taken.count(), SLOTS as usize);
    }
}
