use {
    crate::{
        data::{EntryCore, RequestDraft, UnsentTicketGuard, forward_request, recorded_reply},
        filters::{FilterEnd, FilterResult, RequestFilter, filter_chain::refused},
    },
    base::{FailureReason, RunClaim},
    futures_util::future::LocalBoxFuture,
    once::{SpendOutcome, TicketBody},
    std::{rc::Rc, time::Instant},
};

/// Requires a ticket for each non-idempotent request. Repeated sends under the same ticket join the
/// first send or get its recorded answer.
pub struct TicketFilter;

impl RequestFilter for TicketFilter {
    fn apply(&self, core: Rc<EntryCore>, draft: RequestDraft) -> LocalBoxFuture<'_, FilterResult> {
        Box::pin(check_ticket(core, draft))
    }
}

async fn check_ticket(core: Rc<EntryCore>, draft: RequestDraft) -> FilterResult {
    if draft.plan.is_idempotent() {
        return Ok(draft);
    }
    let Some(text) = &draft.head.ticket else {
        let report = draft.refuse(
            FailureReason::TicketMissing,
            "a non-idempotent request needs a ticket; send it again with one",
        );
        return refused(report.with_tickets(core.mint_tickets(core.settings.answers.tickets)));
    };
    let ticket = match core.mint.read(text) {
        Ok(ticket) => ticket,
        Err(error) => {
            return refused(draft.refuse(FailureReason::TicketInvalid, error.to_string()));
        }
    };
    if !core.mint.has_minted(&ticket) {
        let reply = forward_request(core, draft, ticket).await;
        return Err(Box::new(FilterEnd::Answered(reply)));
    }
    spend_ticket(core, draft, &ticket).await
}

async fn spend_ticket(
    core: Rc<EntryCore>,
    mut draft: RequestDraft,
    ticket: &TicketBody,
) -> FilterResult {
    let key = (draft.head.customer.clone(), draft.head.request_id.clone());
    let outcome = core
        .ticket_registry
        .borrow_mut()
        .spend(ticket, &key.0, &key.1, core.uptime());
    match outcome {
        SpendOutcome::First => {
            draft.spent_ticket = Some(UnsentTicketGuard::new(core, ticket.nonce, key));
            Ok(draft)
        }
        SpendOutcome::Join => join_running_request(core, draft).await,
        SpendOutcome::Recorded(answer) => {
            core.metrics.count("tickets.repeated", 1);
            Err(Box::new(FilterEnd::Answered(recorded_reply(&answer))))
        }
        SpendOutcome::AnswerEvicted => {
            // The first send under the ticket may have run.
            let claim = draft.claim.into_sent();
            let detail = "the request has ended, and its recorded answer was evicted";
            refused(claim.report_failed(FailureReason::AnswerBroken, detail))
        }
        SpendOutcome::Refused(reason) => {
            let is_expired = reason == FailureReason::TicketExpired;
            let report = draft.refuse(reason, "the ticket was refused; this send ran nothing");
            let report = if is_expired {
                report.with_earlier_may_have_run()
            } else {
                report
            };
            refused(report.with_tickets(core.mint_tickets(1)))
        }
    }
}

async fn join_running_request(core: Rc<EntryCore>, draft: RequestDraft) -> FilterResult {
    core.metrics.count("tickets.joined", 1);
    let key = (draft.head.customer.clone(), draft.head.request_id.clone());
    let answer = core.join_registry.join(key);
    let remaining = draft.deadline.saturating_duration_since(Instant::now());
    if let Ok(Ok(answer)) = actix_rt::time::timeout(remaining, answer).await {
        return Err(Box::new(FilterEnd::Answered(recorded_reply(&answer))));
    }
    // The first send under the ticket may have run.
    let claim = RunClaim::new().into_sent();
    let detail = "an earlier send under the same ticket is still running";
    refused(
        claim
            .report_lost(FailureReason::DeadlinePassed, detail)
            .with_earlier_may_have_run(),
    )
}
