use {
    crate::{RecordedAnswer, TicketBody},
    base::{CustomerId, FailureReason, RequestId},
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        sync::Arc,
        time::Duration,
    },
};

/// Limits on the memory of a ticket registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RegistryLimits {
    /// Largest number of spent tickets; further ones are refused until some expire.
    pub rows: usize,
    /// Largest total size of the recorded answers, in bytes; beyond it the oldest are evicted.
    pub answer_bytes: usize,
}

impl Default for RegistryLimits {
    fn default() -> Self {
        Self {
            rows: 65_536,
            answer_bytes: 32 * 1024 * 1024,
        }
    }
}

/// What an entry must do with a request that carries one of its own tickets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SpendOutcome {
    /// The ticket is spent now for the first time: run the request.
    First,
    /// The request is running: wait for its answer.
    Join,
    /// The request has ended: send its recorded answer again.
    Recorded(Arc<RecordedAnswer>),
    /// The request has ended, and its recorded answer was evicted to save memory.
    AnswerEvicted,
    /// The request must not run; the reason goes to the caller.
    Refused(FailureReason),
}

#[derive(Debug)]
enum RowState {
    Running,
    Ended(Arc<RecordedAnswer>),
    AnswerEvicted,
}

#[derive(Debug)]
struct TicketRow {
    customer: CustomerId,
    request: RequestId,
    expires: Duration,
    state: RowState,
}

/// Tickets that were spent at this incarnation, with the state or answer of each request. Times
/// count from the start of the incarnation.
#[derive(Debug, Default)]
pub struct TicketRegistry {
    limits: RegistryLimits,
    /// Spent tickets by nonce.
    rows: HashMap<u64, TicketRow>,
    /// Nonces by request.
    by_request: HashMap<(CustomerId, RequestId), u64>,
    /// Expiry times and nonces, as a sorted set.
    by_expiry: BTreeMap<(Duration, u64), ()>,
    /// Nonces of the tickets with a recorded answer, oldest answer first.
    ended: VecDeque<u64>,
    /// Total size of the recorded answers, in bytes.
    answer_bytes: usize,
}

impl TicketRegistry {
    /// Creates an empty registry.
    pub fn new(limits: RegistryLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Spends a ticket for a request, or returns the state of that request if it came before. A
    /// ticket that was spent for another request is refused as invalid.
    ///
    /// ```
    /// use {once::{SpendOutcome, TicketBody, TicketRegistry}, std::time::Duration};
    ///
    /// let mut registry = TicketRegistry::default();
    /// let ticket = TicketBody {
    ///     host: String::from("h1"),
    ///     incarnation: 1,
    ///     address: String::from("127.0.0.1:80"),
    ///     expires: Duration::from_secs(60),
    ///     nonce: 9,
    /// };
    /// let now = Duration::from_secs(1);
    /// assert_eq!(registry.spend(&ticket, "farm", "r1", now), SpendOutcome::First);
    /// assert_eq!(registry.spend(&ticket, "farm", "r1", now), SpendOutcome::Join);
    /// ```
    pub fn spend(
        &mut self,
        ticket: &TicketBody,
        customer: &str,
        request: &str,
        now: Duration,
    ) -> SpendOutcome {
        self.evict_expired(now);
        if let Some(row) = self.rows.get(&ticket.nonce) {
            return Self::repeat_outcome(row, customer, request);
        }
        if ticket.expires <= now {
            return SpendOutcome::Refused(FailureReason::TicketExpired);
        }
        let key = (customer.to_string(), request.to_string());
        if let Some(row) = self
            .by_request
            .get(&key)
            .and_then(|nonce| self.rows.get(nonce))
        {
            return Self::repeat_outcome(row, customer, request);
        }
        if self.rows.len() >= self.limits.rows {
            return SpendOutcome::Refused(FailureReason::Overloaded);
        }
        self.insert(ticket, key);
        SpendOutcome::First
    }

    /// Records the final answer of a request that ran or may have run. Answers beyond the size
    /// limit are evicted, oldest first.
    pub fn record_answer(&mut self, nonce: u64, answer: RecordedAnswer) {
        let Some(row) = self.rows.get_mut(&nonce) else {
            return;
        };
        self.answer_bytes += answer.body.len();
        row.state = RowState::Ended(Arc::new(answer));
        self.ended.push_back(nonce);
        self.evict_answers();
    }

    /// Makes a ticket valid again after its request turned out not to have run. Has no effect
    /// once an answer is recorded.
    pub fn revoke_spend(&mut self, nonce: u64) {
        let is_running = self
            .rows
            .get(&nonce)
            .is_some_and(|row| matches!(row.state, RowState::Running));
        if is_running {
            self.remove(nonce);
        }
    }

    /// Returns the number of spent tickets in the registry.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns true if the registry holds no spent ticket.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn repeat_outcome(row: &TicketRow, customer: &str, request: &str) -> SpendOutcome {
        if row.customer != customer || row.request != request {
            return SpendOutcome::Refused(FailureReason::TicketInvalid);
        }
        match &row.state {
            RowState::Running => SpendOutcome::Join,
            RowState::Ended(answer) => SpendOutcome::Recorded(Arc::clone(answer)),
            RowState::AnswerEvicted => SpendOutcome::AnswerEvicted,
        }
    }

    fn insert(&mut self, ticket: &TicketBody, key: (CustomerId, RequestId)) {
        let row = TicketRow {
            customer: key.0.clone(),
            request: key.1.clone(),
            expires: ticket.expires,
            state: RowState::Running,
        };
        self.rows.insert(ticket.nonce, row);
        self.by_request.insert(key, ticket.nonce);
        self.by_expiry.insert((ticket.expires, ticket.nonce), ());
    }

    /// Removes expired tickets, except those whose request is still running.
    fn evict_expired(&mut self, now: Duration) {
        let expired: Vec<u64> = self
            .by_expiry
            .range(..=(now, u64::MAX))
            .map(|((_, nonce), ())| *nonce)
            .filter(|nonce| !self.is_running(*nonce))
            .collect();
        for nonce in expired {
            self.remove(nonce);
        }
    }

    fn is_running(&self, nonce: u64) -> bool {
        self.rows
            .get(&nonce)
            .is_some_and(|row| matches!(row.state, RowState::Running))
    }

    fn remove(&mut self, nonce: u64) {
        let Some(row) = self.rows.remove(&nonce) else {
            return;
        };
        if let RowState::Ended(answer) = &row.state {
            self.answer_bytes -= answer.body.len();
        }
        self.by_expiry.remove(&(row.expires, nonce));
        self.by_request.remove(&(row.customer, row.request));
        self.ended.retain(|other| *other != nonce);
    }

    fn evict_answers(&mut self) {
        while self.answer_bytes > self.limits.answer_bytes {
            let Some(nonce) = self.ended.pop_front() else {
                return;
            };
            let Some(row) = self.rows.get_mut(&nonce) else {
                continue;
            };
            if let RowState::Ended(answer) = &row.state {
                self.answer_bytes -= answer.body.len();
            }
            row.state = RowState::AnswerEvicted;
        }
    }
}
