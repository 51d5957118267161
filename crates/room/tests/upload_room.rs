//! The room for bodies that arrive.

use {
    proptest::prelude::*,
    room::{NoRoom, UploadLease, UploadRoom},
    std::time::{Duration, Instant},
};

const MEGABYTE: usize = 1_000_000;
/// Time within which a whole body has to arrive.
const UPLOAD_TIMEOUT: Duration = Duration::from_secs(20);

#[test]
fn bodies_that_come_too_slowly_do_not_lock_out_others() {
    let room = UploadRoom::new(10 * MEGABYTE);
    let now = Instant::now();
    let admit = |at| room.admit(Some(4 * MEGABYTE), at);
    let slow: Vec<UploadLease> = (0..3).map(|_| admit(now).expect("room")).collect();
    for lease in &slow {
        lease.receive(1_000, now).expect("room");
    }
    assert!(admit(now).is_err());
    let later = now + UPLOAD_TIMEOUT / 4;
    assert!(admit(later).is_ok());
    assert!(slow[0].receive(1_000, later).is_err());
    assert_eq!(room.held(), 0);
}

#[test]
fn the_body_of_which_most_is_to_come_gives_way() {
    let room = UploadRoom::new(6 * MEGABYTE);
    let now = Instant::now();
    let first = room.admit(Some(4 * MEGABYTE), now).expect("room");
    let second = room.admit(Some(4 * MEGABYTE), now).expect("room");
    first.receive(3 * MEGABYTE, now).expect("room");
    second.receive(2 * MEGABYTE, now).expect("room");
    first.receive(MEGABYTE, now).expect("room");
    assert_eq!(second.receive(1, now), Err(NoRoom));
    let whole = first.finish().expect("room");
    assert_eq!(room.held(), 4 * MEGABYTE);
    drop(whole);
    assert_eq!(room.held(), 0);
}

#[test]
fn a_short_body_has_room_among_long_ones() {
    let room = UploadRoom::new(4 * MEGABYTE);
    let now = Instant::now();
    let long = room.admit(Some(4 * MEGABYTE), now).expect("room");
    long.receive(3_600_000, now).expect("room");
    let short = room.admit(Some(1_000), now).expect("room");
    short.receive(1_000, now).expect("room");
    assert!(short.finish().is_ok());
}

/// One thing that happens to one of the bodies.
#[derive(Debug, Clone)]
enum UploadStep {
    Admit(Option<usize>),
    Receive(usize, usize),
    Finish(usize),
    Drop(usize),
}

fn any_step() -> impl Strategy<Value = UploadStep> {
    prop_oneof![
        proptest::option::of(0..400_000_usize).prop_map(UploadStep::Admit),
        (0..8_usize, 0..100_000_usize).prop_map(|(body, count)| UploadStep::Receive(body, count)),
        (0..8_usize).prop_map(UploadStep::Finish),
        (0..8_usize).prop_map(UploadStep::Drop),
    ]
}

proptest! {
    #[test]
    fn the_room_is_never_exceeded_and_is_given_back(
        steps in proptest::collection::vec(any_step(), 0..200),
    ) {
        let limit = 500_000;
        let room = UploadRoom::new(limit);
        let (mut arriving, mut whole) = (Vec::new(), Vec::new());
        for (number, step) in steps.into_iter().enumerate() {
            let now = Instant::now() + Duration::from_millis(200) * number as u32;
            match step {
                UploadStep::Admit(length) => arriving.extend(room.admit(length, now).ok()),
                UploadStep::Receive(body, count) => {
                    let _ = arriving.get(body).map(|lease: &UploadLease| lease.receive(count, now));
                }
                UploadStep::Finish(body) if body < arriving.len() => {
                    whole.extend(arriving.remove(body).finish().ok());
                }
                UploadStep::Drop(body) if body < whole.len() => drop(whole.remove(body)),
                _ => {}
            }
            prop_assert!(room.held() <= limit);
        }
        drop((arriving, whole));
        prop_assert_eq!(room.held(), 0);
        prop_assert!(room.admit(Some(limit), Instant::now()).is_ok());
    }
}
