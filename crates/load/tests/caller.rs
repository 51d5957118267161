//! What a caller does next on each answer.

use {
    base::{FailureReason, FailureReport, RunClaim},
    load::{AnswerFault, CallerStep, RequestCaller, RequestOutcome, SendResult},
    std::time::{Duration, Instant},
};

const DEADLINE: Duration = Duration::from_secs(2);

fn started(now: Instant, idempotent: bool, ticket: Option<&str>) -> RequestCaller {
    let mut caller = RequestCaller::new(now + DEADLINE, idempotent);
    let ranked = vec![String::from("a"), String::from("b")];
    assert!(matches!(
        caller.handle_addresses(now, ranked),
        CallerStep::Send { .. }
    ));
    if let Some(ticket) = ticket {
        caller.set_ticket(ticket);
    }
    caller
}

fn send(address: &str, at: Instant, ticket: Option<&str>) -> CallerStep {
    CallerStep::Send {
        address: String::from(address),
        at,
        ticket: ticket.map(String::from),
    }
}

fn not_run(reason: FailureReason) -> FailureReport {
    RunClaim::new().refuse(reason, "")
}

fn lost(reason: FailureReason) -> FailureReport {
    RunClaim::new().into_sent().report_lost(reason, "")
}

#[test]
fn failed_dials_go_down_the_ranks_and_then_ask_again() {
    let now = Instant::now();
    let mut caller = started(now, true, None);
    assert_eq!(
        caller.handle_result(now, SendResult::NotSent),
        send("b", now, None)
    );
    let step = caller.handle_result(now, SendResult::NotSent);
    assert!(matches!(step, CallerStep::AskAddresses { at } if at > now));
    let late = now + DEADLINE;
    let step = caller.handle_no_addresses(late);
    assert_eq!(step, CallerStep::Finish(RequestOutcome::Unreachable));
}

#[test]
fn comes_back_when_told_unless_the_deadline_is_earlier() {
    let now = Instant::now();
    let mut caller = started(now, true, None);
    let report = not_run(FailureReason::Overloaded).retry_after(Duration::from_millis(300));
    let step = caller.handle_result(now, SendResult::Refused(report));
    assert_eq!(step, send("b", now + Duration::from_millis(300), None));
    let report = not_run(FailureReason::Overloaded).retry_after(Duration::from_secs(3));
    let step = caller.handle_result(now, SendResult::Refused(report));
    assert!(matches!(
        step,
        CallerStep::Finish(RequestOutcome::Refused {
            reason: FailureReason::Overloaded,
            ..
        })
    ));
}

#[test]
fn a_refusal_without_a_time_to_come_back_is_final() {
    let now = Instant::now();
    let mut caller = started(now, true, None);
    let report = not_run(FailureReason::UnknownPipeline);
    let step = caller.handle_result(now, SendResult::Refused(report));
    assert!(matches!(
        step,
        CallerStep::Finish(RequestOutcome::Refused { .. })
    ));
}

#[test]
fn addresses_of_a_refusal_are_used_first() {
    let now = Instant::now();
    let mut caller = started(now, true, None);
    let address = base::EntryAddress {
        host: String::from("h"),
        address: String::from("c"),
    };
    let report = not_run(FailureReason::Leaving).with_addresses(vec![address]);
    let step = caller.handle_result(now, SendResult::Refused(report));
    assert_eq!(step, send("c", now, None));
}

#[test]
fn a_missing_ticket_is_fetched_from_the_refusal() {
    let now = Instant::now();
    let mut caller = started(now, false, None);
    let report = not_run(FailureReason::TicketMissing).with_tickets(vec![String::from("t")]);
    let step = caller.handle_result(now, SendResult::Refused(report));
    assert_eq!(step, send("a", now, None));
    assert!(caller.needs_ticket());
}

#[test]
fn a_refusal_that_ran_nothing_frees_a_non_idempotent_request_from_its_ticket() {
    let now = Instant::now();
    let mut caller = started(now, false, Some("t"));
    let report = not_run(FailureReason::Overloaded).retry_after(Duration::ZERO);
    let step = caller.handle_result(now, SendResult::Refused(report));
    assert_eq!(step, send("b", now, None));
    assert!(caller.needs_ticket());
}

#[test]
fn after_a_broken_connection_a_non_idempotent_request_keeps_its_ticket_for_good() {
    let now = Instant::now();
    let mut caller = started(now, false, Some("t"));
    let step = caller.handle_result(now, SendResult::Interrupted);
    assert_eq!(step, send("b", now, Some("t")));
    let report = not_run(FailureReason::Overloaded)
        .retry_after(Duration::ZERO)
        .with_tickets(vec![String::from("fresh")]);
    let step = caller.handle_result(now, SendResult::Refused(report));
    assert_eq!(step, send("a", now, Some("t")));
    let gone = not_run(FailureReason::TicketOwnerGone).with_tickets(vec![String::from("fresh")]);
    let step = caller.handle_result(now, SendResult::Refused(gone.with_earlier_may_have_run()));
    let outcome = RequestOutcome::Refused {
        verdict: base::RunVerdict::NotRun,
        reason: FailureReason::TicketOwnerGone,
        earlier_may_have_run: true,
    };
    assert_eq!(step, CallerStep::Finish(outcome));
}

#[test]
fn a_run_in_doubt_comes_back_only_under_its_ticket() {
    let now = Instant::now();
    let report = || lost(FailureReason::TargetLost).retry_after(Duration::ZERO);
    let mut caller = started(now, false, Some("t"));
    let step = caller.handle_result(now, SendResult::Refused(report()));
    assert_eq!(step, send("b", now, Some("t")));
    let mut bare = started(now, false, None);
    let step = bare.handle_result(now, SendResult::Refused(report()));
    assert!(matches!(
        step,
        CallerStep::Finish(RequestOutcome::Refused { .. })
    ));
    let mut bare = started(now, false, None);
    let step = bare.handle_result(now, SendResult::Interrupted);
    assert_eq!(step, CallerStep::Finish(RequestOutcome::Interrupted));
}

#[test]
fn faulty_and_late_answers_end_the_request() {
    let now = Instant::now();
    let mut caller = started(now, true, None);
    let step = caller.handle_result(now, SendResult::Faulty(AnswerFault::Cut));
    assert_eq!(
        step,
        CallerStep::Finish(RequestOutcome::Faulty(AnswerFault::Cut))
    );
    let step = caller.handle_result(now, SendResult::TimedOut);
    assert_eq!(step, CallerStep::Finish(RequestOutcome::Unanswered));
}
