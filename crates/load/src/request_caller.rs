use {
    crate::{AnswerFault, RequestOutcome},
    base::{FailureReason, FailureReport, RunVerdict},
    std::{
        mem,
        time::{Duration, Instant},
    },
};

/// Pause before asking for addresses again, after all of them failed or no entry answered.
const ADDRESS_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Result of one send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendResult {
    /// The correct answer arrived completely.
    Whole,
    /// An answer arrived that no entry may produce.
    Faulty(AnswerFault),
    /// The entry refused the request or reported that its run failed.
    Failed(FailureReport),
    /// No connection could be established, so nothing was sent.
    NotSent,
    /// The connection broke before the answer ended, or a failure report could not be decoded.
    Interrupted,
    /// The deadline and its grace time passed while the connection was open.
    TimedOut,
}

/// Next step of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerStep {
    /// Send the request to an entry.
    Send {
        /// Address of the entry.
        address: String,
        /// Earliest time to send.
        at: Instant,
        /// Ticket to send along; `None` if the request has none.
        ticket: Option<String>,
    },
    /// Ask an entry for addresses.
    AskAddresses {
        /// Earliest time to ask.
        at: Instant,
    },
    /// End the request with this outcome.
    Finish(RequestOutcome),
}

/// Decides what the caller of one request does next; does no I/O.
///
/// An entry may be unable to rule out that an earlier send ran. The caller knows all its sends: if
/// each was not sent or reported as not run, the request did not run.
///
/// ```
/// use {load::{CallerStep, RequestCaller, SendResult}, std::time::{Duration, Instant}};
///
/// let now = Instant::now();
/// let mut caller = RequestCaller::new(now + Duration::from_secs(1), true);
/// assert_eq!(caller.start(now), CallerStep::AskAddresses { at: now });
/// let ranked = vec![String::from("a:1"), String::from("b:1")];
/// let first = caller.handle_addresses(now, ranked);
/// assert!(matches!(first, CallerStep::Send { address, .. } if address == "a:1"));
/// let second = caller.handle_result(now, SendResult::NotSent);
/// assert!(matches!(second, CallerStep::Send { address, .. } if address == "b:1"));
/// ```
#[derive(Debug, Clone)]
pub struct RequestCaller {
    deadline: Instant,
    idempotent: bool,
    ranked_addresses: Vec<String>,
    address_index: usize,
    has_reached_entry: bool,
    ticket: Option<String>,
    may_have_run: bool,
    last_refusal: Option<FailureReport>,
}

impl RequestCaller {
    /// Creates the caller of a request that has not been sent.
    pub fn new(deadline: Instant, idempotent: bool) -> Self {
        Self {
            deadline,
            idempotent,
            ranked_addresses: Vec::new(),
            address_index: 0,
            has_reached_entry: false,
            ticket: None,
            may_have_run: false,
            last_refusal: None,
        }
    }

    /// Returns the first step: to ask for addresses.
    pub fn start(&self, now: Instant) -> CallerStep {
        CallerStep::AskAddresses { at: now }
    }

    /// Returns the next step now that the addresses to use are known, best first.
    pub fn handle_addresses(&mut self, now: Instant, ranked: Vec<String>) -> CallerStep {
        self.ranked_addresses = ranked;
        self.address_index = 0;
        self.send_at(now, now)
    }

    /// Returns the next step after no entry answered the request for addresses.
    pub fn handle_no_addresses(&mut self, now: Instant) -> CallerStep {
        self.ask_addresses_at(now, now + ADDRESS_RETRY_DELAY)
    }

    /// Returns true if the request is not idempotent and has no ticket.
    pub fn needs_ticket(&self) -> bool {
        !self.idempotent && self.ticket.is_none()
    }

    /// Sets the ticket that is sent along with the request from now on.
    pub fn set_ticket(&mut self, ticket: impl Into<String>) {
        self.ticket = Some(ticket.into());
    }

    /// Returns the next step after the last send ended with this result.
    pub fn handle_result(&mut self, now: Instant, result: SendResult) -> CallerStep {
        match result {
            SendResult::Whole => CallerStep::Finish(RequestOutcome::Whole),
            SendResult::Faulty(fault) => CallerStep::Finish(RequestOutcome::Faulty(fault)),
            SendResult::TimedOut => CallerStep::Finish(RequestOutcome::Unanswered),
            SendResult::NotSent => self.try_next_address(now),
            SendResult::Interrupted => self.handle_interruption(now),
            SendResult::Failed(report) => self.handle_refusal(now, report),
        }
    }

    fn handle_interruption(&mut self, now: Instant) -> CallerStep {
        self.has_reached_entry = true;
        self.last_refusal = None;
        if !self.idempotent {
            self.may_have_run = true;
            if self.ticket.is_none() {
                return CallerStep::Finish(RequestOutcome::Interrupted);
            }
        }
        self.try_next_address(now)
    }

    fn handle_refusal(&mut self, now: Instant, mut report: FailureReport) -> CallerStep {
        self.has_reached_entry = true;
        self.may_have_run |= report.verdict != RunVerdict::NotRun;
        let addresses = mem::take(&mut report.addresses);
        let delay = report.retry_after_ms.map(Duration::from_millis);
        let has_new_ticket = self.renew_ticket(&report);
        let is_retryable = delay.is_some() || !addresses.is_empty() || has_new_ticket;
        self.last_refusal = Some(report);
        if !is_retryable || !self.may_retry() {
            return self.give_up();
        }
        if !addresses.is_empty() {
            self.ranked_addresses = addresses.into_iter().map(|entry| entry.address).collect();
            self.address_index = 0;
        } else if delay.is_some() {
            self.address_index += 1;
        }
        self.send_at(now, now + delay.unwrap_or_default())
    }

    /// Drops the ticket of a non-idempotent request if nothing can have run under it. Returns true
    /// if the refusal says that the ticket was unusable and brings new ones.
    fn renew_ticket(&mut self, report: &FailureReport) -> bool {
        if self.idempotent || self.may_have_run {
            return false;
        }
        self.ticket = None;
        let is_unusable = matches!(
            report.reason,
            FailureReason::TicketMissing
                | FailureReason::TicketInvalid
                | FailureReason::TicketExpired
                | FailureReason::TicketOwnerGone
        );
        is_unusable && !report.tickets.is_empty()
    }

    /// Returns true if the request may be sent again: a non-idempotent one only if nothing can have
    /// run, or with its ticket.
    fn may_retry(&self) -> bool {
        self.idempotent || !self.may_have_run || self.ticket.is_some()
    }

    fn try_next_address(&mut self, now: Instant) -> CallerStep {
        self.address_index += 1;
        if self.address_index < self.ranked_addresses.len() {
            self.send_at(now, now)
        } else {
            self.ask_addresses_at(now, now + ADDRESS_RETRY_DELAY)
        }
    }

    fn ask_addresses_at(&self, now: Instant, at: Instant) -> CallerStep {
        if now < self.deadline && at < self.deadline {
            CallerStep::AskAddresses { at }
        } else {
            self.give_up()
        }
    }

    fn send_at(&mut self, now: Instant, at: Instant) -> CallerStep {
        if now >= self.deadline || at >= self.deadline {
            return self.give_up();
        }
        let Some(last_index) = self.ranked_addresses.len().checked_sub(1) else {
            return self.ask_addresses_at(now, now + ADDRESS_RETRY_DELAY);
        };
        CallerStep::Send {
            address: self.ranked_addresses[self.address_index % (last_index + 1)].clone(),
            at,
            ticket: self.ticket.clone(),
        }
    }

    fn give_up(&self) -> CallerStep {
        let outcome = match &self.last_refusal {
            Some(report) => RequestOutcome::Refused {
                verdict: report.verdict,
                reason: report.reason,
                earlier_may_have_run: self.may_have_run,
            },
            None if self.has_reached_entry => RequestOutcome::Interrupted,
            None => RequestOutcome::Unreachable,
        };
        CallerStep::Finish(outcome)
    }
}
