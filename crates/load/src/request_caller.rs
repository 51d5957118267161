use {
    crate::{AnswerFault, RequestOutcome},
    base::{FailureReason, FailureReport, RunVerdict},
    std::{
        mem,
        time::{Duration, Instant},
    },
};

/// Pause before asking for addresses again when none could be used.
const ADDRESS_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What became of one send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendResult {
    /// The right answer came whole.
    Whole,
    /// An answer came that must never come.
    Faulty(AnswerFault),
    /// The entry answered that the request failed.
    Refused(FailureReport),
    /// No connection was made, so nothing was sent.
    NotSent,
    /// The connection ended before the answer did.
    Interrupted,
    /// The time ran out while the connection stood.
    TimedOut,
}

/// What a caller does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerStep {
    /// Send to this address, not before this time.
    Send {
        /// Address of the entry.
        address: String,
        /// When to send.
        at: Instant,
        /// Ticket to send under.
        ticket: Option<String>,
    },
    /// Ask an entry for addresses, not before this time.
    AskAddresses {
        /// When to ask.
        at: Instant,
    },
    /// The request is over.
    Finish(RequestOutcome),
}

/// Decides what the caller of one request does next; does no I/O.
///
/// A caller knows all its sends: if each was not sent or not run, nothing ran, even where an entry
/// cannot rule out an earlier send.
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
    /// Caller of a request that was not sent yet.
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

    /// First step of a caller that keeps no addresses.
    pub fn start(&self, now: Instant) -> CallerStep {
        CallerStep::AskAddresses { at: now }
    }

    /// Takes in the addresses to use, in ranked order.
    pub fn handle_addresses(&mut self, now: Instant, ranked: Vec<String>) -> CallerStep {
        self.ranked_addresses = ranked;
        self.address_index = 0;
        self.send_at(now, now)
    }

    /// No entry could be asked for addresses.
    pub fn handle_no_addresses(&mut self, now: Instant) -> CallerStep {
        self.ask_addresses_at(now, now + ADDRESS_RETRY_DELAY)
    }

    /// True if a non-idempotent send has no ticket yet.
    pub fn needs_ticket(&self) -> bool {
        !self.idempotent && self.ticket.is_none()
    }

    /// Gives the request its ticket; all its sends go out under it.
    pub fn set_ticket(&mut self, ticket: impl Into<String>) {
        self.ticket = Some(ticket.into());
    }

    /// Takes in how the last send ended.
    pub fn handle_result(&mut self, now: Instant, result: SendResult) -> CallerStep {
        match result {
            SendResult::Whole => CallerStep::Finish(RequestOutcome::Whole),
            SendResult::Faulty(fault) => CallerStep::Finish(RequestOutcome::Faulty(fault)),
            SendResult::TimedOut => CallerStep::Finish(RequestOutcome::Unanswered),
            SendResult::NotSent => self.try_next_address(now),
            SendResult::Interrupted => self.handle_interruption(now),
            SendResult::Refused(report) => self.handle_refusal(now, report),
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
            self.ranked_addresses = addresses.into_iter().map(|row| row.address).collect();
            self.address_index = 0;
        } else if delay.is_some() {
            self.address_index += 1;
        }
        self.send_at(now, now + delay.unwrap_or_default())
    }

    /// Drops a ticket under which nothing ran; true if the entry handed out a better one.
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

    /// A non-idempotent request comes back only if nothing ran, or under its ticket.
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
