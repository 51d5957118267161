use {
    crate::{AnswerFault, RequestOutcome},
    base::{FailureReason, FailureReport, RunVerdict},
    std::{
        mem,
        time::{Duration, Instant},
    },
};

/// Pause after no address of a whole round could be reached.
const ROUND_PAUSE: Duration = Duration::from_millis(50);

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
/// let first = caller.addresses(now, ranked);
/// assert!(matches!(first, CallerStep::Send { address, .. } if address == "a:1"));
/// let second = caller.ended(now, SendResult::NotSent);
/// assert!(matches!(second, CallerStep::Send { address, .. } if address == "b:1"));
/// ```
#[derive(Debug, Clone)]
pub struct RequestCaller {
    deadline: Instant,
    idempotent: bool,
    ranked: Vec<String>,
    position: usize,
    reached: bool,
    ticket: Option<String>,
    doubt: bool,
    last: Option<FailureReport>,
}

impl RequestCaller {
    /// Caller of a request that was not sent yet.
    pub fn new(deadline: Instant, idempotent: bool) -> Self {
        Self {
            deadline,
            idempotent,
            ranked: Vec::new(),
            position: 0,
            reached: false,
            ticket: None,
            doubt: false,
            last: None,
        }
    }

    /// First step of a caller that keeps no addresses.
    pub fn start(&self, now: Instant) -> CallerStep {
        CallerStep::AskAddresses { at: now }
    }

    /// Takes in the addresses to use, in ranked order.
    pub fn addresses(&mut self, now: Instant, ranked: Vec<String>) -> CallerStep {
        self.ranked = ranked;
        self.position = 0;
        self.send_at(now, now)
    }

    /// No entry could be asked for addresses.
    pub fn no_addresses(&mut self, now: Instant) -> CallerStep {
        self.ask_at(now, now + ROUND_PAUSE)
    }

    /// True if a non-idempotent send has no ticket yet.
    pub fn wants_ticket(&self) -> bool {
        !self.idempotent && self.ticket.is_none()
    }

    /// Gives the request its ticket; all its sends go out under it.
    pub fn use_ticket(&mut self, ticket: impl Into<String>) {
        self.ticket = Some(ticket.into());
    }

    /// Takes in how the last send ended.
    pub fn ended(&mut self, now: Instant, result: SendResult) -> CallerStep {
        match result {
            SendResult::Whole => CallerStep::Finish(RequestOutcome::Whole),
            SendResult::Faulty(fault) => CallerStep::Finish(RequestOutcome::Faulty(fault)),
            SendResult::TimedOut => CallerStep::Finish(RequestOutcome::Unanswered),
            SendResult::NotSent => self.next_address(now),
            SendResult::Interrupted => self.interrupted(now),
            SendResult::Refused(report) => self.refused(now, report),
        }
    }

    fn interrupted(&mut self, now: Instant) -> CallerStep {
        self.reached = true;
        self.last = None;
        if !self.idempotent {
            self.doubt = true;
            if self.ticket.is_none() {
                return CallerStep::Finish(RequestOutcome::Interrupted);
            }
        }
        self.next_address(now)
    }

    fn refused(&mut self, now: Instant, mut report: FailureReport) -> CallerStep {
        self.reached = true;
        self.doubt |= report.verdict != RunVerdict::NotRun;
        let addresses = mem::take(&mut report.addresses);
        let delay = report.retry_after_ms.map(Duration::from_millis);
        let renewed = self.renew_ticket(&report);
        let comes_back = delay.is_some() || !addresses.is_empty() || renewed;
        self.last = Some(report);
        if !comes_back || !self.may_come_back() {
            return self.give_up();
        }
        if !addresses.is_empty() {
            self.ranked = addresses.into_iter().map(|row| row.address).collect();
            self.position = 0;
        } else if delay.is_some() {
            self.position += 1;
        }
        self.send_at(now, now + delay.unwrap_or_default())
    }

    /// Drops a ticket under which nothing ran; true if the entry handed out a better one.
    fn renew_ticket(&mut self, report: &FailureReport) -> bool {
        if self.idempotent || self.doubt {
            return false;
        }
        self.ticket = None;
        let useless = matches!(
            report.reason,
            FailureReason::TicketMissing
                | FailureReason::TicketInvalid
                | FailureReason::TicketExpired
                | FailureReason::TicketOwnerGone
        );
        useless && !report.tickets.is_empty()
    }

    /// A non-idempotent request comes back only if nothing ran, or under its ticket.
    fn may_come_back(&self) -> bool {
        self.idempotent || !self.doubt || self.ticket.is_some()
    }

    fn next_address(&mut self, now: Instant) -> CallerStep {
        self.position += 1;
        if self.position < self.ranked.len() {
            self.send_at(now, now)
        } else {
            self.ask_at(now, now + ROUND_PAUSE)
        }
    }

    fn ask_at(&self, now: Instant, at: Instant) -> CallerStep {
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
        let Some(count) = self.ranked.len().checked_sub(1) else {
            return self.ask_at(now, now + ROUND_PAUSE);
        };
        CallerStep::Send {
            address: self.ranked[self.position % (count + 1)].clone(),
            at,
            ticket: self.ticket.clone(),
        }
    }

    fn give_up(&self) -> CallerStep {
        let outcome = match &self.last {
            Some(report) => RequestOutcome::Refused {
                verdict: report.verdict,
                reason: report.reason,
                earlier_may_have_run: self.doubt,
            },
            None if self.reached => RequestOutcome::Interrupted,
            None => RequestOutcome::Unreachable,
        };
        CallerStep::Finish(outcome)
    }
}
