//! Guards against requests that run twice under one ticket, and against callers that get the answer
//! of another request. Requests arrive, finish or are refused, and time passes, in random order.

use {
    once::{RecordedAnswer, RegistryLimits, SpendOutcome, TicketBody, TicketMint, TicketRegistry},
    proptest::{prelude::*, test_runner::RngSeed},
    rand_chacha::rand_core::SeedableRng,
    std::{collections::HashMap, time::Duration},
};

const SEED: u64 = 0x0ce;
const TICKETS: u64 = 4;
const REQUESTS: u8 = 3;

#[derive(Debug, Clone)]
enum RegistryStep {
    /// A request arrives with a ticket.
    Arrive {
        nonce: u64,
        customer: u8,
        request: u8,
    },
    /// The request of a ticket ends with an answer.
    Finish {
        nonce: u64,
    },
    /// The request of a ticket is refused before it has run.
    Refuse {
        nonce: u64,
    },
    Wait {
        seconds: u64,
    },
}

fn steps() -> impl Strategy<Value = Vec<RegistryStep>> {
    let step = prop_oneof![
        4 => (0..TICKETS, 0..2_u8, 0..REQUESTS)
            .prop_map(|(nonce, customer, request)| RegistryStep::Arrive { nonce, customer, request }),
        2 => (0..TICKETS).prop_map(|nonce| RegistryStep::Finish { nonce }),
        1 => (0..TICKETS).prop_map(|nonce| RegistryStep::Refuse { nonce }),
        1 => (1..40_u64).prop_map(|seconds| RegistryStep::Wait { seconds }),
    ];
    prop::collection::vec(step, 1..60)
}

fn ticket(nonce: u64) -> TicketBody {
    TicketBody {
        host: String::from("h1"),
        incarnation: 1,
        address: String::from("127.0.0.1:80"),
        expires: Duration::from_secs(60),
        nonce,
    }
}

fn answer(text: &str) -> RecordedAnswer {
    RecordedAnswer {
        status: 200,
        content_type: String::from("text/plain"),
        body: text.into(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A ticket starts no second run unless the first is known not to have run, and only the
    /// sender of the recorded request gets its answer.
    #[test]
    fn ticket_runs_at_most_once(steps in steps()) {
        // Holds two answers, which have five bytes each.
        let mut registry = TicketRegistry::new(RegistryLimits { rows: 16, answer_bytes: 12 });
        let mut now = Duration::ZERO;
        let mut running: HashMap<u64, String> = HashMap::new();
        let mut ran: HashMap<u64, String> = HashMap::new();
        for step in steps {
            match step {
                RegistryStep::Arrive { nonce, customer, request } => {
                    let (customer, request) = (format!("c{customer}"), format!("r{request}"));
                    let sender = format!("{customer}/{request}");
                    match registry.spend(&ticket(nonce), &customer, &request, now) {
                        SpendOutcome::First => {
                            prop_assert!(!running.contains_key(&nonce));
                            prop_assert!(!ran.contains_key(&nonce));
                            prop_assert!(!running.values().any(|other| *other == sender));
                            running.insert(nonce, sender);
                        }
                        SpendOutcome::Join => {
                            prop_assert!(running.values().any(|other| *other == sender));
                        }
                        SpendOutcome::Recorded(answer) => {
                            prop_assert_eq!(&answer.body, sender.as_bytes());
                        }
                        SpendOutcome::AnswerEvicted | SpendOutcome::Refused(_) => {}
                    }
                }
                RegistryStep::Finish { nonce } => {
                    if let Some(sender) = running.remove(&nonce) {
                        registry.record_answer(nonce, answer(&sender));
                        ran.insert(nonce, sender);
                    }
                }
                RegistryStep::Refuse { nonce } => {
                    if running.remove(&nonce).is_some() {
                        registry.revoke_spend(nonce);
                    }
                }
                RegistryStep::Wait { seconds } => now += Duration::from_secs(seconds),
            }
        }
    }

    /// A ticket with any one character changed is rejected.
    #[test]
    fn changed_ticket_is_rejected(position in 0..80_usize, letter in "[A-Za-z0-9_-]") {
        let mint = TicketMint::new("h1", 1, "127.0.0.1:80", Duration::from_secs(60), &[7; 32]);
        let mut random = rand_chacha::ChaCha8Rng::from_seed([3; 32]);
        let text = mint.mint(Duration::ZERO, &mut random);
        let position = position % text.len();
        let mut changed = text.clone();
        changed.replace_range(position..=position, &letter);
        if changed != text {
            prop_assert!(mint.read(&changed).is_err());
        }
    }
}

#[test]
fn ticket_of_another_key_is_rejected() {
    let mint = TicketMint::new("h1", 1, "127.0.0.1:80", Duration::from_secs(60), &[7; 32]);
    let other = TicketMint::new("h1", 1, "127.0.0.1:80", Duration::from_secs(60), &[8; 32]);
    let mut random = rand_chacha::ChaCha8Rng::from_seed([3; 32]);
    let text = mint.mint(Duration::ZERO, &mut random);
    assert!(other.read(&text).is_err());
    assert!(mint.read(&text).is_ok());
}
