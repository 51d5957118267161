//! Guards against messages between entries that another build of the fleet reads wrongly or not at
//! all, as while machines are replaced one after the other.

use {
    board::{GossipDatagram, GossipMessage, HostHeartbeat, HostMark, PoolLoad},
    piece::{JobRank, PieceInput, PieceOutcome, StageJob, StageResult},
    plan::{ColdRate, StorePosition},
    proptest::prelude::*,
    relay::{
        FeedFrame, JobFrame, OriginFrame, PeerMessage, PermitAnswer, PermitFrame, PermitSubject,
        PlaceFrame, StoreItem,
    },
    route::{ServiceOutcome, StreamOrigin},
    std::{collections::BTreeMap, time::Duration},
    wire::{DatagramSeal, FrameSeal, NEWEST_SCHEMA, OLDEST_SCHEMA},
};

const KEY: [u8; 32] = [7; 32];
/// Sealed messages of the oldest schema, in the order of `oldest_messages`.
const OLDEST_BYTES: &str = include_str!("golden/schema-1.txt");
/// Sealed messages that schema 2 adds, in the order of `added_messages`.
const ADDED_BYTES: &str = include_str!("golden/schema-2.txt");

fn position() -> StorePosition {
    StorePosition {
        era: 2,
        revision: 900,
    }
}

fn job() -> StageJob {
    StageJob {
        request: String::from("r1"),
        stage: 1,
        pieces: 3,
        input: PieceInput::Results(vec![String::from("a/b")]),
        result_bytes: 70_000,
        aim_left: Duration::from_millis(300),
        time_left: Duration::from_millis(5_200),
        data_centre: Some(String::from("north")),
    }
}

fn result() -> StageResult {
    StageResult {
        maker: String::from("t1"),
        name: String::from("10.0.0.1:80/x"),
    }
}

/// Messages that every build reads.
fn oldest_messages() -> Vec<PeerMessage> {
    let target = plan::TargetRow {
        service: String::from("models"),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: String::from("north"),
        version: Some(String::from("v1")),
        slots: 16,
        leaving: true,
        started_ms: 1_700_000_000_000,
    };
    let items = vec![
        StoreItem::Target(String::from("t1"), target),
        StoreItem::TargetGone(String::from("t2")),
        StoreItem::Unreadable(String::from("k"), String::from("why")),
        StoreItem::Other,
    ];
    let shard = String::from("pieces#0");
    vec![
        PeerMessage::Job(JobFrame::Submit {
            number: 1,
            shard: shard.clone(),
            job: job(),
        }),
        PeerMessage::Job(JobFrame::Cancel { number: 2 }),
        PeerMessage::Job(JobFrame::Free {
            shard,
            results: vec![result()],
        }),
        PeerMessage::Job(JobFrame::InputsRead { number: 3 }),
        PeerMessage::Job(JobFrame::Made {
            number: 4,
            results: vec![result()],
        }),
        PeerMessage::Job(JobFrame::Failed {
            number: 5,
            outcome: PieceOutcome::Moved,
        }),
        PeerMessage::Place(PlaceFrame::FirstEvent { number: 6 }),
        PeerMessage::Place(PlaceFrame::End {
            number: 7,
            outcome: ServiceOutcome::Cancelled,
        }),
        PeerMessage::Feed(FeedFrame::Follow {
            position: position(),
        }),
        PeerMessage::Feed(FeedFrame::Changes {
            from: position(),
            to: position(),
            items,
            returned_ago: Some(Duration::from_secs(1)),
        }),
        PeerMessage::Feed(FeedFrame::Alive),
        PeerMessage::Permit(PermitFrame::Ask {
            number: 8,
            subject: PermitSubject::Room {
                target: String::from("t1"),
                slots: 6,
            },
        }),
        PeerMessage::Permit(PermitFrame::Answer {
            number: 9,
            answer: PermitAnswer::Denied {
                retry_in: Duration::from_millis(20),
            },
        }),
        PeerMessage::Origin(OriginFrame::Tell(StreamOrigin {
            attempt: 77,
            service: String::from("models"),
            version: None,
            keep: Duration::from_secs(9),
        })),
    ]
}

/// Messages that schema 2 adds.
fn added_messages() -> Vec<PeerMessage> {
    vec![
        PeerMessage::Feed(FeedFrame::FollowAll {
            position: position(),
        }),
        PeerMessage::Feed(FeedFrame::Changes {
            from: position(),
            to: position(),
            items: vec![
                StoreItem::Evacuated(String::from("north")),
                StoreItem::EvacuationEnded(String::from("north")),
                StoreItem::Cold(String::from("t1"), Duration::from_secs(3)),
            ],
            returned_ago: None,
        }),
        PeerMessage::Permit(PermitFrame::Ask {
            number: 8,
            subject: PermitSubject::Cold {
                target: String::from("t1"),
                interval: Duration::from_millis(150),
            },
        }),
        PeerMessage::Job(JobFrame::SubmitRanked {
            number: 1,
            shard: String::from("pieces#0"),
            job: job(),
            rank: JobRank {
                urgency: 2,
                customer: 77,
            },
        }),
        PeerMessage::Feed(FeedFrame::Changes {
            from: position(),
            to: position(),
            items: vec![StoreItem::ColdRates(
                4,
                BTreeMap::from([(String::from("models"), ColdRate { per_second: 8.5 })]),
            )],
            returned_ago: None,
        }),
    ]
}

fn to_lines(messages: &[PeerMessage]) -> String {
    let seal = FrameSeal::new(KEY);
    let sealed = messages.iter();
    let sealed = sealed.map(|message| seal.encode_as(message.schema(), message).unwrap());
    let lines = sealed.map(|bytes| {
        let digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        digits + "\n"
    });
    lines.collect()
}

#[test]
fn the_messages_of_the_oldest_schema_stay_as_they_are() {
    let messages = oldest_messages();
    assert!(messages.iter().all(|one| one.schema() == OLDEST_SCHEMA));
    assert_eq!(to_lines(&messages), OLDEST_BYTES);
}

#[test]
fn the_messages_of_schema_2_stay_as_they_are() {
    let messages = added_messages();
    assert!(messages.iter().all(|one| one.schema() == 2));
    assert_eq!(to_lines(&messages), ADDED_BYTES);
}

/// A heartbeat has no field for the schema; an older build passes the mark on like any load.
#[test]
fn a_mark_survives_the_heartbeats_of_the_oldest_schema() {
    let mark = HostMark {
        schema: NEWEST_SCHEMA,
        lacks_store: true,
    };
    let load = PoolLoad {
        pool: 9,
        wait_ms: 40,
        last_wait_ms: 900,
    };
    let heartbeat = HostHeartbeat {
        process: 5,
        peers: "10.0.0.1:80".parse().unwrap(),
        sequence: 3,
        age_ms: 20,
        ready: true,
        reaches_targets: true,
        leaving: false,
        settled: true,
        plan_version: 4,
        pools: vec![load, mark.to_load()],
    };
    let message = GossipDatagram::Round(GossipMessage {
        records: Vec::new(),
        heartbeats: vec![heartbeat],
        asked: Vec::new(),
    });
    let seal = DatagramSeal::new(KEY);
    let sealed = seal.seal(&message).unwrap();
    assert_eq!(sealed[0], OLDEST_SCHEMA);
    let Ok(GossipDatagram::Round(read)) = seal.open::<GossipDatagram>(&sealed) else {
        panic!("the round cannot be read");
    };
    assert_eq!(HostMark::find(&read.heartbeats[0].pools), mark);
}

proptest! {
    /// Bytes of any length, also those of a message with a part cut off or added, are refused or
    /// give the message that was sent, never another one.
    #[test]
    fn damaged_messages_are_never_read_as_others(
        position in 0_usize..17,
        cut in 0_usize..400,
        added in proptest::collection::vec(any::<u8>(), 0..20),
        flipped in 0_usize..400,
    ) {
        let messages: Vec<_> = oldest_messages().into_iter().chain(added_messages()).collect();
        let message = &messages[position % messages.len()];
        let seal = FrameSeal::new(KEY);
        let intact = seal.encode_as(message.schema(), message).unwrap();
        let mut bytes = intact[..intact.len() - cut % intact.len()].to_vec();
        bytes.extend(added);
        let flipped = flipped % bytes.len().max(1);
        if let Some(byte) = bytes.get_mut(flipped) {
            *byte ^= 1;
        }
        let mut decoder = seal.decoder::<PeerMessage>();
        decoder.push(&bytes);
        while let Ok(Some(read)) = decoder.next_frame() {
            prop_assert_eq!(&read, message);
        }
    }
}
