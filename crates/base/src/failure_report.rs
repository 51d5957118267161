use {
    crate::{HostId, RunVerdict},
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// Why a request failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureReason {
    /// A header is missing, malformed or out of range.
    BadRequest,
    /// The body is larger than the entry accepts.
    BodyTooLarge,
    /// The sheet has no such pipeline.
    UnknownPipeline,
    /// Customer unknown or credential wrong.
    BadCredential,
    /// A non-idempotent request came without a ticket.
    TicketMissing,
    /// The ticket is malformed, forged or belongs to another customer or request.
    TicketInvalid,
    /// The ticket's time is over.
    TicketExpired,
    /// The entry that minted the ticket is gone; earlier sends under it may have run.
    TicketOwnerGone,
    /// The customer has more waiting than its share of the queue.
    ShareExceeded,
    /// The entry has more waiting than can finish in time.
    Overloaded,
    /// The time that remains does not suffice for the stages still to come.
    DeadlineTooShort,
    /// The deadline passed.
    DeadlinePassed,
    /// The entry is shutting down.
    Leaving,
    /// The entry has no sheet that it may trust.
    NoSheet,
    /// The caller has seen a later sheet than this entry has.
    SheetBehind,
    /// No target of the pool can be used.
    NoTarget,
    /// A target was lost with the call.
    TargetLost,
    /// A target refused the call or answered with an error.
    TargetFailed,
    /// A target's answer was cut, mixed up or otherwise not whole.
    AnswerBroken,
    /// The request has crashed targets before.
    CrashSuspect,
    /// The entry that the request was forwarded to was lost.
    PeerLost,
    /// The caller was too slow to read its answer.
    SlowReader,
}

impl FailureReason {
    /// The reason as it stands in answers, logs and metrics.
    ///
    /// ```
    /// assert_eq!(base::FailureReason::NoTarget.name(), "no_target");
    /// ```
    pub fn name(self) -> String {
        match serde_json::to_value(self) {
            Ok(serde_json::Value::String(name)) => name,
            _ => String::from("unknown"),
        }
    }
}

impl fmt::Display for FailureReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.name())
    }
}

/// An entry that a caller may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// Host of the entry.
    pub host: HostId,
    /// Address in the form `ip:port`.
    pub address: String,
}

/// Final answer to a request that failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureReport {
    /// Whether this send may have run.
    pub verdict: RunVerdict,
    /// Why it failed.
    pub reason: FailureReason,
    /// Further words for a person.
    pub detail: String,
    /// True if an earlier send under the same ticket may have run.
    #[serde(default)]
    pub earlier_may_have_run: bool,
    /// When to come back, in milliseconds; absent where coming back is of no use.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Where to come back to; empty means the same entry.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub addresses: Vec<EntryAddress>,
    /// Fresh tickets for a non-idempotent request.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tickets: Vec<String>,
}

impl FailureReport {
    /// Only a run claim makes reports, so that each verdict has its proof.
    pub(crate) fn new(
        verdict: RunVerdict,
        reason: FailureReason,
        detail: impl Into<String>,
    ) -> Self {
        Self {
            verdict,
            reason,
            detail: detail.into(),
            earlier_may_have_run: false,
            retry_after_ms: None,
            addresses: Vec::new(),
            tickets: Vec::new(),
        }
    }

    /// Says when the caller should come back.
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(delay.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// Says where the caller should come back to.
    pub fn with_addresses(mut self, addresses: Vec<EntryAddress>) -> Self {
        self.addresses = addresses;
        self
    }

    /// Hands out fresh tickets with the refusal.
    pub fn with_tickets(mut self, tickets: Vec<String>) -> Self {
        self.tickets = tickets;
        self
    }

    /// Says that an earlier send under the same ticket may have run.
    pub fn with_earlier_doubt(mut self) -> Self {
        self.earlier_may_have_run = true;
        self
    }
}
