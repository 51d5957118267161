//! Guards the decoders of datagrams and frames against arbitrary, damaged and truncated input:
//! they must not panic, must report the right reason, and must still decode intact messages.

use {
    proptest::{prelude::*, test_runner::RngSeed},
    stamp::HybridTime,
    wire::{
        DatagramSeal, DropReason, FrameSeal, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, MarkSource,
        PeerFrame, PeerIdentity, PeerInfo, PeerMessage, PeerRumour, StrikeVictim, WireError,
    },
};

const KEY: [u8; 32] = [3; 32];

fn proptest_config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(0x7769_7265),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn identity() -> impl Strategy<Value = PeerIdentity> {
    ("[a-z0-9-]{1,12}", any::<u64>())
        .prop_map(|(host, incarnation)| PeerIdentity { host, incarnation })
}

fn peer() -> impl Strategy<Value = PeerInfo> {
    (
        identity(),
        "[a-z0-9-]{1,12}",
        any::<(u32, bool, u64, [u8; 8])>(),
    )
        .prop_map(
            |(identity, data_centre, (size, leaving, sheet_version, sheet_digest))| PeerInfo {
                host: identity.host,
                incarnation: identity.incarnation,
                data_centre,
                callers: String::from("10.0.0.1:80"),
                peers: String::from("10.0.0.1:81"),
                size,
                leaving,
                sheet_version,
                sheet_digest,
            },
        )
}

fn time() -> impl Strategy<Value = HybridTime> {
    any::<(u64, u32)>().prop_map(|(physical_us, counter)| HybridTime::new(physical_us, counter))
}

fn rumour() -> impl Strategy<Value = PeerRumour> {
    prop_oneof![
        peer().prop_map(PeerRumour::Member),
        identity().prop_map(PeerRumour::HostLeaving),
        identity().prop_map(PeerRumour::HostSuspect),
        identity().prop_map(PeerRumour::HostRevived),
        ("[a-z]{1,9}", time(), any::<bool>()).prop_map(|(target, since, clear)| {
            PeerRumour::TargetLeaving {
                target,
                source: MarkSource::Operator,
                since,
                clear,
            }
        }),
        (any::<([u8; 16], u8, u32)>(), time()).prop_map(|((fingerprint, strikes, left), at)| {
            PeerRumour::Strike {
                fingerprint,
                victim: StrikeVictim {
                    target: 7,
                    stage: 1,
                },
                strikes,
                at,
                remaining_ms: left,
            }
        }),
    ]
}

fn message() -> impl Strategy<Value = PeerMessage> {
    prop_oneof![
        (peer(), time(), prop::collection::vec(rumour(), 0..8)).prop_map(
            |(sender, stamp, rumours)| PeerMessage::Heartbeat {
                sender,
                stamp,
                rumours,
            }
        ),
        (identity(), any::<u64>()).prop_map(|(sender, nonce)| PeerMessage::Probe { sender, nonce }),
        (identity(), any::<u64>())
            .prop_map(|(sender, nonce)| PeerMessage::ProbeAck { sender, nonce }),
        (identity(), any::<u32>())
            .prop_map(|(sender, from)| PeerMessage::FactRequest { sender, from }),
    ]
}

fn frame() -> impl Strategy<Value = PeerFrame> {
    prop_oneof![
        any::<u64>().prop_map(|version| PeerFrame::SheetRequest { version }),
        any::<u64>().prop_map(|version| PeerFrame::SheetAbsent { version }),
        (".{0,99}", prop::collection::vec(".{0,200}", 0..5)).prop_map(|(index_text, parts)| {
            PeerFrame::SheetReply {
                index_text,
                parts,
                marks: Vec::new(),
            }
        }),
        (any::<u64>(), ".{0,64}").prop_map(|(version, digest)| PeerFrame::SheetStatusReply {
            version,
            digest,
            vouched: version % 2 == 0,
            marks: Vec::new(),
        }),
    ]
}

proptest! {
    #![proptest_config(proptest_config())]

    #[test]
    fn datagrams_round_trip(message in message()) {
        let seal = DatagramSeal::new(KEY);
        let bytes = seal.seal(&message).unwrap();
        prop_assert_eq!(bytes.len(), DatagramSeal::sealed_bytes(&message));
        prop_assert_eq!(seal.open(&bytes), Ok(message));
    }

    #[test]
    fn random_bytes_are_dropped(bytes in prop::collection::vec(any::<u8>(), 0..1_400)) {
        prop_assert!(DatagramSeal::new(KEY).open::<PeerMessage>(&bytes).is_err());
        let mut decoder = FrameSeal::new(KEY).decoder::<PeerFrame>();
        decoder.push(&bytes);
        prop_assert!(!matches!(decoder.next_frame(), Ok(Some(_))));
    }

    #[test]
    fn damaged_datagrams_are_dropped(
        message in message(), at in any::<prop::sample::Index>(), bit in 0..8_u8,
    ) {
        let seal = DatagramSeal::new(KEY);
        let intact = seal.seal(&message).unwrap();
        let at = at.index(intact.len());
        let mut damaged = intact.clone();
        damaged[at] ^= 1_u8 << bit;
        let expected = if at == 0 { DropReason::OtherVersion } else { DropReason::WrongHash };
        prop_assert_eq!(seal.open::<PeerMessage>(&damaged), Err(expected));
        let truncated = seal.open::<PeerMessage>(&intact[..at]);
        prop_assert!(matches!(truncated, Err(DropReason::Truncated | DropReason::WrongHash)));
        prop_assert_eq!(seal.open::<PeerMessage>(&intact[..at.min(17)]), Err(DropReason::Truncated));
    }

    #[test]
    fn frames_survive_splitting_into_chunks(
        frames in prop::collection::vec(frame(), 1..5), chunk_bytes in 1..64_usize,
    ) {
        let seal = FrameSeal::new(KEY);
        let bytes: Vec<u8> = frames.iter().flat_map(|one| seal.encode(one).unwrap()).collect();
        let mut decoder = seal.decoder::<PeerFrame>();
        let mut decoded = Vec::new();
        for chunk in bytes.chunks(chunk_bytes) {
            decoder.push(chunk);
            while let Some(frame) = decoder.next_frame().unwrap() {
                decoded.push(frame);
            }
        }
        prop_assert_eq!(decoded, frames);
        prop_assert_eq!(decoder.finish(), Ok(()));
    }

    #[test]
    fn damaged_frames_fail_the_decoder(
        frame in frame(), at in any::<prop::sample::Index>(), bit in 0..8_u8,
    ) {
        let seal = FrameSeal::new(KEY);
        let mut bytes = seal.encode(&frame).unwrap();
        let at = at.index(bytes.len());
        bytes[at] ^= 1_u8 << bit;
        let mut decoder = seal.decoder::<PeerFrame>();
        decoder.push(&bytes);
        let outcome = decoder.next_frame();
        prop_assert!(!matches!(outcome, Ok(Some(_))), "damaged frame was accepted");
        prop_assert!(decoder.finish().is_err());
        if at >= 4 {
            let expected = if at == 4 { DropReason::OtherVersion } else { DropReason::WrongHash };
            prop_assert_eq!(outcome, Err(expected));
            decoder.push(&seal.encode(&frame).unwrap());
            prop_assert_eq!(decoder.next_frame(), Err(expected));
        }
    }
}

#[test]
fn oversized_messages_are_refused() {
    let seal = DatagramSeal::new(KEY);
    let oversized = vec![1; MAX_DATAGRAM_BYTES + 1];
    assert_eq!(
        seal.open::<PeerMessage>(&oversized),
        Err(DropReason::TooLong)
    );
    let sender = PeerIdentity {
        host: "h".repeat(MAX_DATAGRAM_BYTES),
        incarnation: 1,
    };
    let probe = PeerMessage::Probe { sender, nonce: 1 };
    assert!(matches!(seal.seal(&probe), Err(WireError::TooLong { .. })));

    let seal = FrameSeal::new(KEY);
    let reply = PeerFrame::SheetReply {
        index_text: String::new(),
        parts: vec!["x".repeat(MAX_FRAME_BYTES)],
        marks: Vec::new(),
    };
    assert!(matches!(
        seal.encode(&reply),
        Err(WireError::TooLong { .. })
    ));
    let mut decoder = seal.decoder::<PeerFrame>();
    decoder.push(&u32::MAX.to_le_bytes());
    assert_eq!(decoder.next_frame(), Err(DropReason::TooLong));
}

#[test]
fn wrong_tag_is_refused_and_undecodable_content_is_malformed() {
    let request = PeerFrame::SheetRequest { version: 1 };
    let frame = FrameSeal::new(KEY).encode(&request).unwrap();
    let datagram = DatagramSeal::new(KEY);
    assert_eq!(
        datagram.open::<PeerMessage>(&frame[4..]),
        Err(DropReason::WrongHash)
    );

    // A correct keyed hash over content of a build with other messages, which does not decode.
    let mut hasher = blake3::Hasher::new_keyed(&KEY);
    let content = [255; 9];
    hasher.update(&[b'd', 1]);
    hasher.update(&content);
    let mut bytes = vec![1];
    bytes.extend(&hasher.finalize().as_bytes()[..16]);
    bytes.extend(content);
    assert_eq!(
        datagram.open::<PeerMessage>(&bytes),
        Err(DropReason::Malformed)
    );
}
