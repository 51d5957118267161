//! The caller's next step after each result of a send.

use {
    base::{FailureReason, FailureReport, RunClaim},
    load::{AnswerFault, CallerStep, RequestCaller, RequestOutcome, SendResult},
    std::time::{Duration, Instant},
};

const DEADLINE: Duration = Duration::from_secs(2);

fn sending_caller(now: Instant, idempotent: bool, ticket: Option<&str>) -> RequestCaller {
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

fn send_step(address: &str, at: Instant, ticket: Option<&str>) -> CallerStep {
    CallerStep::Send {
        address: String::from(address),
        at,
        ticket: ticket.map(String::from),
    }
}

fn not_run_report(reason: FailureReason) -> FailureReport {
    RunClaim::new().refuse(reason, "")
}

fn lost_report(reason: FailureReason) -> FailureReport {
    RunClaim::new().into_sent().report_lost(reason, "")
}

/// A caller must not give up, nor keep trying one entry, while other entries can take the request.
#[test]
fn failed_dials_try_each_address_and_then_ask_for_new_ones() {
    let now = Instant::now();
    let mut caller = sending_caller(now, true, None);
    assert_eq!(
        caller.handle_result(now, SendResult::NotSent),
        send_step("b", now, None)
    );
    let step = caller.handle_result(now, SendResult::NotSent);
    assert!(matches!(step, CallerStep::AskAddresses { at } if at > now));
    let late = now + DEADLINE;
    let step = caller.handle_no_addresses(late);
    assert_eq!(step, CallerStep::Finish(RequestOutcome::Unreachable));
}

/// A caller that retries too early adds to an overload; one that waits past its deadline sends a
/// request that nobody needs.
#[test]
fn retries_after_the_stated_delay_unless_the_deadline_is_earlier() {
    let now = Instant::now();
    let mut caller = sending_caller(now, true, None);
    let report = not_run_report(FailureReason::Overloaded).retry_after(Duration::from_millis(300));
    let step = caller.handle_result(now, SendResult::Failed(report));
    assert_eq!(step, send_step("b", now + Duration::from_millis(300), None));
    let report = not_run_report(FailureReason::Overloaded).retry_after(Duration::from_secs(3));
    let step = caller.handle_result(now, SendResult::Failed(report));
    assert!(matches!(
        step,
        CallerStep::Finish(RequestOutcome::Refused {
            reason: FailureReason::Overloaded,
            ..
        })
    ));
}

/// Guards against endless retries of a request that can never succeed.
#[test]
fn a_refusal_without_a_retry_delay_is_final() {
    let now = Instant::now();
    let mut caller = sending_caller(now, true, None);
    let report = not_run_report(FailureReason::UnknownPipeline);
    let step = caller.handle_result(now, SendResult::Failed(report));
    assert!(matches!(
        step,
        CallerStep::Finish(RequestOutcome::Refused { .. })
    ));
}

/// A leaving entry names others; a caller that ignores them keeps sending to entries that leave.
#[test]
fn addresses_in_a_refusal_replace_the_known_ones() {
    let now = Instant::now();
    let mut caller = sending_caller(now, true, None);
    let address = base::EntryAddress {
        host: String::from("h"),
        address: String::from("c"),
    };
    let report = not_run_report(FailureReason::Leaving).with_addresses(vec![address]);
    let step = caller.handle_result(now, SendResult::Failed(report));
    assert_eq!(step, send_step("c", now, None));
}

/// An entry refuses a non-idempotent request without a ticket and hands out new ones. The caller
/// must retry there at once, although the refusal names no delay.
#[test]
fn a_refusal_with_tickets_is_retried_at_the_same_entry() {
    let now = Instant::now();
    let mut caller = sending_caller(now, false, None);
    let report = not_run_report(FailureReason::TicketMissing).with_tickets(vec![String::from("t")]);
    let step = caller.handle_result(now, SendResult::Failed(report));
    assert_eq!(step, send_step("a", now, None));
    assert!(caller.needs_ticket());
}

/// A ticket ties the request to the entry that minted it. A caller that kept it after nothing ran
/// would still depend on the entry that refused.
#[test]
fn a_refusal_that_ran_nothing_drops_the_ticket() {
    let now = Instant::now();
    let mut caller = sending_caller(now, false, Some("t"));
    let report = not_run_report(FailureReason::Overloaded).retry_after(Duration::ZERO);
    let step = caller.handle_result(now, SendResult::Failed(report));
    assert_eq!(step, send_step("b", now, None));
    assert!(caller.needs_ticket());
}

/// After a broken connection the request may have run. Sent again with another ticket, it could run
/// twice, so it keeps its ticket also when refusals offer new ones.
#[test]
fn a_broken_connection_binds_a_non_idempotent_request_to_its_ticket() {
    let now = Instant::now();
    let mut caller = sending_caller(now, false, Some("t"));
    let step = caller.handle_result(now, SendResult::Interrupted);
    assert_eq!(step, send_step("b", now, Some("t")));
    let report = not_run_report(FailureReason::Overloaded)
        .retry_after(Duration::ZERO)
        .with_tickets(vec![String::from("fresh")]);
    let step = caller.handle_result(now, SendResult::Failed(report));
    assert_eq!(step, send_step("a", now, Some("t")));
    let owner_gone =
        not_run_report(FailureReason::TicketOwnerGone).with_tickets(vec![String::from("fresh")]);
    let step = caller.handle_result(
        now,
        SendResult::Failed(owner_gone.with_earlier_may_have_run()),
    );
    let outcome = RequestOutcome::Refused {
        verdict: base::RunVerdict::NotRun,
        reason: FailureReason::TicketOwnerGone,
        earlier_may_have_run: true,
    };
    assert_eq!(step, CallerStep::Finish(outcome));
}

/// Only the ticket keeps a request from running twice. Without one, a non-idempotent request ends
/// with the first result that leaves open whether it ran.
#[test]
fn a_request_that_may_have_run_is_retried_only_with_its_ticket() {
    let now = Instant::now();
    let report = || lost_report(FailureReason::TargetLost).retry_after(Duration::ZERO);
    let mut caller = sending_caller(now, false, Some("t"));
    let step = caller.handle_result(now, SendResult::Failed(report()));
    assert_eq!(step, send_step("b", now, Some("t")));
    let mut caller_without_ticket = sending_caller(now, false, None);
    let step = caller_without_ticket.handle_result(now, SendResult::Failed(report()));
    assert!(matches!(
        step,
        CallerStep::Finish(RequestOutcome::Refused { .. })
    ));
    let mut caller_without_ticket = sending_caller(now, false, None);
    let step = caller_without_ticket.handle_result(now, SendResult::Interrupted);
    assert_eq!(step, CallerStep::Finish(RequestOutcome::Interrupted));
}

/// A retry after a faulty or missing answer would hide the fault from the report.
#[test]
fn faulty_answers_and_timeouts_end_the_request() {
    let now = Instant::now();
    let mut caller = sending_caller(now, true, None);
    let step = caller.handle_result(now, SendResult::Faulty(AnswerFault::Cut));
    assert_eq!(
        step,
        CallerStep::Finish(RequestOutcome::Faulty(AnswerFault::Cut))
    );
    let step = caller.handle_result(now, SendResult::TimedOut);
    assert_eq!(step, CallerStep::Finish(RequestOutcome::Unanswered));
}
