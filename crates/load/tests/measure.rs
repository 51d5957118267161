//! Verification of answers, tallies, audits, costs and comparisons.

use {
    base::{AnswerDigest, CallIdentity, FailureReason, RunVerdict, StreamEvent},
    load::{
        AnswerCheck, AnswerFault, AnswerState, CostTally, LoadReport, LoadTally, PostingAudit,
        RequestOutcome, RequestResult, RunComparison,
    },
    stand::{CallOutcome, CallRecord, StandControl},
    std::{collections::BTreeMap, time::Duration},
};

fn verify_unary_body(expected: &[u8], body: &[u8]) -> AnswerState {
    let digest = AnswerDigest::of(body);
    let check = AnswerCheck::new(expected.to_vec());
    check.verify_unary(body, Some(digest.length()), Some(&digest.hex()))
}

fn end_event(tokens: u64, text: &str) -> StreamEvent {
    let digest = AnswerDigest::of(text.as_bytes());
    StreamEvent::End {
        tokens,
        length: digest.length(),
        digest: digest.hex(),
    }
}

fn token_event(index: u64, text: &str) -> StreamEvent {
    StreamEvent::Token {
        index,
        text: String::from(text),
    }
}

fn request_result(request: &str, outcome: RequestOutcome, millis: u64) -> RequestResult {
    RequestResult {
        customer: String::from("dairy"),
        pipeline: String::from("receipt"),
        request: String::from(request),
        outcome,
        latency: Duration::from_millis(millis),
        deadline: Duration::from_millis(100),
        calls: 2,
        failed_dials: 1,
        interruptions: vec![String::from("127.0.0.1:1")],
        refusals: [(String::from("not_run:overloaded"), 3)].into(),
        first_token: None,
        gaps: Vec::new(),
        posting: true,
    }
}

fn refused_outcome(earlier_may_have_run: bool) -> RequestOutcome {
    RequestOutcome::Refused {
        verdict: RunVerdict::NotRun,
        reason: FailureReason::Overloaded,
        earlier_may_have_run,
    }
}

/// A check of length and digest alone would accept a truncated or foreign answer whose headers fit.
#[test]
fn unary_answers_are_classified_as_whole_cut_broken_or_misdelivered() {
    assert_eq!(verify_unary_body(b"whole", b"whole"), AnswerState::Whole);
    assert_eq!(
        verify_unary_body(b"whole", b"who"),
        AnswerState::Faulty(AnswerFault::Cut)
    );
    assert_eq!(
        verify_unary_body(b"whole", b"other"),
        AnswerState::Faulty(AnswerFault::Misdelivered)
    );
    let check = AnswerCheck::new(b"whole".to_vec());
    let broken = AnswerState::Faulty(AnswerFault::Broken);
    assert_eq!(check.verify_unary(b"whole", Some(5), None), broken);
    assert_eq!(check.verify_unary(b"whole", Some(4), Some("00")), broken);
}

/// A stream can lose, repeat or mix up tokens while each event is well-formed.
#[test]
fn streams_are_whole_only_with_every_token_and_a_consistent_end_event() {
    let check = AnswerCheck::new(b"one two ".to_vec());
    let mut whole = check.clone();
    assert_eq!(
        whole.verify_event(token_event(0, "one ")),
        AnswerState::Incomplete
    );
    assert_eq!(
        whole.verify_event(token_event(1, "two ")),
        AnswerState::Incomplete
    );
    assert_eq!(
        whole.verify_event(end_event(2, "one two ")),
        AnswerState::Whole
    );
    let mut truncated = check.clone();
    truncated.verify_event(token_event(0, "one "));
    let state = truncated.verify_event(end_event(1, "one "));
    assert_eq!(state, AnswerState::Faulty(AnswerFault::Cut));
    let mut missing_token = check.clone();
    let state = missing_token.verify_event(token_event(1, "two "));
    assert_eq!(state, AnswerState::Faulty(AnswerFault::Broken));
    let mut other_answer = check.clone();
    let state = other_answer.verify_event(token_event(0, "uno "));
    assert_eq!(state, AnswerState::Faulty(AnswerFault::Misdelivered));
    let mut miscounted = check;
    miscounted.verify_event(token_event(0, "one "));
    let state = miscounted.verify_event(end_event(2, "one two "));
    assert_eq!(state, AnswerState::Faulty(AnswerFault::Broken));
}

/// Late, refused and interrupted requests must lower the attainment, and only whole answers may
/// enter the latencies.
#[test]
fn attainment_counts_only_whole_answers_in_time() {
    let mut tally = LoadTally::new();
    tally.add(&request_result("r1", RequestOutcome::Whole, 80));
    tally.add(&request_result("r2", RequestOutcome::Whole, 120));
    tally.add(&request_result("r3", refused_outcome(false), 10));
    tally.add(&request_result("r4", RequestOutcome::Interrupted, 10));
    let total = tally.total();
    assert_eq!((total.requests, total.attained, total.late), (4, 1, 1));
    assert_eq!(total.attainment, 0.25);
    assert_eq!((total.calls_per_request, total.failed_dials), (2.0, 4));
    assert_eq!(total.latency.count, 2);
    assert!((total.latency.max_ms - 120.0).abs() < 0.5);
    assert_eq!(tally.outcomes()["not_run:overloaded"], 1);
    assert_eq!(tally.refusals()["not_run:overloaded"], 12);
    assert_eq!(tally.by_customer_and_pipeline()["dairy/receipt"], total);
}

/// A case that kills an entry breaks its connections on purpose; elsewhere a break is a fault.
#[test]
fn connections_broken_at_an_entry_that_may_die_are_no_fault() {
    let mut tally = LoadTally::new();
    tally.add(&request_result("r1", RequestOutcome::Whole, 80));
    assert_eq!(LoadReport::from_tally(&tally, &[]).faults.total(), 1);
    let may_die = [String::from("127.0.0.1:1")];
    assert_eq!(LoadReport::from_tally(&tally, &may_die).faults.total(), 0);
}

/// A wrong audit reports a sound run as faulty or hides a lost or doubled posting. A posting of a
/// request that may have run is no fault.
#[test]
fn audit_finds_doubled_lost_and_wrongly_refused_postings() {
    let mut tally = LoadTally::new();
    tally.add(&request_result("posted", RequestOutcome::Whole, 10));
    tally.add(&request_result("lost", RequestOutcome::Whole, 10));
    tally.add(&request_result("refused", refused_outcome(false), 10));
    tally.add(&request_result("doubtful", refused_outcome(true), 10));
    let mut audit = PostingAudit::new();
    let keys = ["dairy/posted", "dairy/refused", "dairy/doubtful"];
    let postings = keys.map(|key| (String::from(key), 1));
    audit.add_target(&BTreeMap::from(postings));
    assert!(audit.doubled().is_empty());
    audit.add_target(&BTreeMap::from([(String::from("dairy/posted"), 1)]));
    assert_eq!(audit.doubled(), ["dairy/posted"]);
    assert_eq!(audit.lost(&tally), ["dairy/lost"]);
    assert_eq!(audit.ran_though_refused(&tally), ["dairy/refused"]);
}

/// Cancelled calls cost target time and refused calls do not; only time for requests that were not
/// attained is wasted.
#[test]
fn cost_is_scaled_by_target_speed_and_split_into_wasted_and_useful() {
    let record = |request: &str, outcome, tokens_sent| CallRecord {
        call: CallIdentity {
            customer: String::from("dairy"),
            request: String::from(request),
            stage: 0,
            attempt: 1,
        },
        name: String::from("generate"),
        input_digest: String::new(),
        started_us: 0,
        outcome,
        tokens_sent,
    };
    let control = StandControl {
        token_ms: 10.0,
        prefill_ms: 100.0,
        speed: 2.0,
        ..StandControl::default()
    };
    let mut tally = CostTally::new([String::from("dairy/good")].into());
    let records = [
        record("good", CallOutcome::Done, 10),
        record("missed", CallOutcome::Cancelled, 30),
        record("missed", CallOutcome::Refused, 0),
    ];
    tally.add_target(&records, &control);
    let cost = &tally.stages()["generate"];
    assert_eq!(cost.calls, 2);
    assert!((cost.seconds - 0.3).abs() < 1e-9);
    assert!((cost.wasted_seconds - 0.2).abs() < 1e-9);
}

/// Runs of one case differ by seed only and must be summarised in one group.
#[test]
fn comparison_shows_median_and_range_and_writes_plots() {
    let mut comparison = RunComparison::new();
    for (seed, attainment) in [(1, 0.9), (2, 0.7), (3, 0.8)] {
        let mut report = LoadReport {
            workload: String::from("demo"),
            case: String::from("straggler"),
            seed,
            ..LoadReport::default()
        };
        report.total.attainment = attainment;
        comparison.add(report);
    }
    let text = comparison.to_text();
    assert!(text.contains("80.00  [70.00 .. 90.00]"), "{text}");
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("plot.svg");
    comparison.plot_attainment(&path).unwrap();
    let plot = std::fs::read_to_string(&path).unwrap();
    assert!(plot.contains("demo straggler"));
    comparison.plot_latency(&path).unwrap();
    assert!(std::fs::read_to_string(&path).unwrap().contains("p99.9"));
}
