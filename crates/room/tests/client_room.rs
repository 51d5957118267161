//! The room of clients' connections, and who gives way.

use {
    proptest::prelude::*,
    room::{ClientRoom, ClientSeat, SeatEnd, SeatState},
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

const SEAT_BYTES: usize = 1_000;

/// Takes seats in a room that has space for them, a millisecond apart.
fn take_seats(room: &Rc<ClientRoom>, count: u32, start: Instant) -> Vec<Rc<ClientSeat>> {
    let times = (0..count).map(|number| start + Duration::from_millis(1) * number);
    times.map(|time| room.take_seat(SEAT_BYTES, time)).collect()
}

#[test]
fn a_client_that_has_stopped_gives_way_before_an_idle_one() {
    let room = ClientRoom::new(3 * SEAT_BYTES);
    let start = Instant::now();
    let seats = take_seats(&room, 3, start);
    seats[1].set_state(SeatState::Arriving, start + Duration::from_secs(1));
    let later = start + Duration::from_secs(5);
    assert!(room.make_room(SEAT_BYTES, later));
    let ends: Vec<_> = seats.iter().map(|seat| seat.end()).collect();
    assert_eq!(ends, [None, Some(SeatEnd::Now), None]);
    assert!(room.make_room(2 * SEAT_BYTES, later));
    assert_eq!(
        seats[0].end(),
        Some(SeatEnd::WhenIdle),
        "the oldest idle one"
    );
    assert_eq!(seats[2].end(), None);
}

#[test]
fn a_client_that_waits_for_the_process_stays() {
    let room = ClientRoom::new(2 * SEAT_BYTES);
    let start = Instant::now();
    let seats = take_seats(&room, 2, start);
    for seat in &seats {
        seat.set_state(SeatState::Served, start);
    }
    assert!(!room.make_room(SEAT_BYTES, start + Duration::from_secs(60)));
    assert!(seats.iter().all(|seat| seat.end().is_none()));
}

#[test]
fn a_request_that_crosses_the_end_is_served_and_another_gives_way() {
    let room = ClientRoom::new(2 * SEAT_BYTES);
    let start = Instant::now();
    let seats = take_seats(&room, 2, start);
    assert!(room.make_room(SEAT_BYTES, start));
    seats[0].set_state(SeatState::Served, start);
    assert_eq!(seats[0].end(), Some(SeatEnd::WhenIdle), "it ends after it");
    assert!(room.make_room(SEAT_BYTES, start));
    assert_eq!(seats[1].end(), Some(SeatEnd::WhenIdle));
    assert!(!room.make_room(2 * SEAT_BYTES, start));
}

#[test]
fn a_request_that_has_just_begun_gives_way_last() {
    let room = ClientRoom::new(2 * SEAT_BYTES);
    let start = Instant::now();
    let seats = take_seats(&room, 2, start);
    seats[0].set_state(SeatState::Arriving, start);
    seats[0].record_progress(60_000, start);
    let later = start + Duration::from_millis(1_500);
    seats[1].set_state(SeatState::Arriving, later);
    assert!(room.make_room(SEAT_BYTES, later));
    assert_eq!(seats[0].end(), Some(SeatEnd::Now));
    assert_eq!(seats[1].end(), None);
}

/// Guards against requests that arrive and are ended, before they were read, for connections that come
/// right after them.
#[test]
fn a_request_that_has_just_begun_does_not_give_way_to_a_new_connection() {
    let room = ClientRoom::new(2 * SEAT_BYTES);
    let start = Instant::now();
    let seats = take_seats(&room, 2, start);
    for seat in &seats {
        seat.set_state(SeatState::Arriving, start);
    }
    room.make_room_for_new(SEAT_BYTES, 2, start + Duration::from_millis(20));
    assert!(seats.iter().all(|seat| seat.end().is_none()));
    room.make_room_for_new(SEAT_BYTES, 2, start + Duration::from_millis(200));
    assert_eq!(seats[0].end(), Some(SeatEnd::Now));
    assert_eq!(seats[1].end(), None);
    room.make_room_for_new(0, 0, start + Duration::from_millis(200));
    assert_eq!(seats[1].end(), Some(SeatEnd::Now), "one alone may be open");
}

/// Guards against connections that come at once and end each other before the first byte of a request.
#[test]
fn a_connection_that_was_just_accepted_does_not_give_way_to_a_new_one() {
    let room = ClientRoom::new(2 * SEAT_BYTES);
    let start = Instant::now();
    let seats = take_seats(&room, 2, start);
    seats[1].set_state(SeatState::Served, start);
    let soon = start + Duration::from_millis(20);
    room.make_room_for_new(SEAT_BYTES, 2, soon);
    assert!(seats.iter().all(|seat| seat.end().is_none()));
    seats[1].set_state(SeatState::Idle, soon);
    room.make_room_for_new(SEAT_BYTES, 2, soon);
    assert_eq!(seats[0].end(), None, "it has had no request yet");
    assert_eq!(seats[1].end(), Some(SeatEnd::WhenIdle), "it was served");
    room.make_room_for_new(2 * SEAT_BYTES, 2, start + Duration::from_millis(200));
    assert_eq!(seats[0].end(), Some(SeatEnd::WhenIdle));
}

#[test]
fn only_clients_that_have_stopped_give_way_to_answers() {
    let room = ClientRoom::new(3 * SEAT_BYTES);
    let start = Instant::now();
    let seats = take_seats(&room, 3, start);
    seats[1].set_state(SeatState::Arriving, start);
    seats[2].set_state(SeatState::Arriving, start);
    let later = start + Duration::from_secs(5);
    seats[2].record_progress(1, later);
    room.end_stopped(later);
    room.end_stopped(later);
    let ends: Vec<_> = seats.iter().map(|seat| seat.end()).collect();
    assert_eq!(ends, [None, Some(SeatEnd::Now), None]);
}

/// One thing that happens to one of the connections.
#[derive(Debug, Clone)]
enum SeatStep {
    Take,
    Resize(usize, usize),
    Set(usize, SeatState),
    MakeRoom(usize),
    Leave(usize),
}

fn any_step() -> impl Strategy<Value = SeatStep> {
    let state = prop_oneof![
        Just(SeatState::Idle),
        Just(SeatState::Arriving),
        Just(SeatState::Served),
    ];
    prop_oneof![
        Just(SeatStep::Take),
        (0..8_usize, 0..5_000_usize).prop_map(|(seat, bytes)| SeatStep::Resize(seat, bytes)),
        (0..8_usize, state).prop_map(|(seat, state)| SeatStep::Set(seat, state)),
        (0..9_000_usize).prop_map(SeatStep::MakeRoom),
        (0..8_usize).prop_map(SeatStep::Leave),
    ]
}

proptest! {
    #[test]
    fn all_that_is_held_is_that_of_the_seats_and_is_given_back(
        steps in proptest::collection::vec(any_step(), 0..200),
    ) {
        let room = ClientRoom::new(8 * SEAT_BYTES);
        let mut seats: Vec<Rc<ClientSeat>> = Vec::new();
        for (number, step) in steps.into_iter().enumerate() {
            let now = Instant::now() + Duration::from_millis(300) * number as u32;
            match step {
                SeatStep::Take => seats.push(room.take_seat(SEAT_BYTES, now)),
                SeatStep::Resize(seat, bytes) if seat < seats.len() => {
                    seats[seat].resize(bytes, now);
                }
                SeatStep::Set(seat, state) if seat < seats.len() => {
                    seats[seat].set_state(state, now);
                }
                SeatStep::MakeRoom(bytes) => {
                    room.make_room(bytes, now);
                }
                SeatStep::Leave(seat) if seat < seats.len() => drop(seats.remove(seat)),
                _ => {}
            }
            let held: usize = seats.iter().map(|seat| seat.bytes()).sum();
            prop_assert_eq!(room.counts().held(), held);
            prop_assert!(room.staying_count() <= seats.len());
        }
        drop(seats);
        prop_assert_eq!(room.counts().held(), 0);
        prop_assert_eq!(room.staying_count(), 0);
        prop_assert!(room.has_space(8 * SEAT_BYTES));
    }
}
