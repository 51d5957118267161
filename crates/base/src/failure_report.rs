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
    /// The ticket has expired.
    TicketExpired,
    /// The process that minted the ticket no longer runs; the request may have run when it was sent
    /// earlier under this ticket.
    TicketOwnerGone,
    /// The customer's queued requests exceed its share of the queue.
    ShareExceeded,
    /// The entry has more queued requests than can finish before their deadlines.
    Overloaded,
    /// The remaining time is too short for the remaining stages.
    DeadlineTooShort,
    /// The deadline passed.
    DeadlinePassed,
    /// The entry is shutting down.
    Leaving,
    /// The entry has no sheet in force.
    NoSheet,
    /// The caller knows a later sheet version than this entry.
    SheetBehind,
    /// The pool has no usable target.
    NoTarget,
    /// The connection to a target was lost during the call.
    TargetLost,
    /// A target refused the call or answered with an error.
    TargetFailed,
    /// A target's answer was truncated, belonged to another call or was otherwise invalid.
    AnswerBroken,
    /// Targets have crashed before while they ran this request.
    CrashSuspect,
    /// The connection to the entry that the request was forwarded to was lost.
    PeerLost,
    /// The caller read its answer too slowly.
    SlowReader,
    /// A stream cannot go on: the software version that began it is not known, or no target of it
    /// takes calls.
    VersionLost,
    /// A fault of the entry's own program.
    InternalFault,
}

impl FailureReason {
    /// Returns the name used in answers, logs and metrics.
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

/// Entry that a caller may send requests to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// Host of the entry.
    pub host: HostId,
    /// Address in the form `ip:port`.
    pub address: String,
}

/// Body of the final answer to a failed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureReport {
    /// Whether the request may have run when it was sent this time.
    pub verdict: RunVerdict,
    /// Why the request failed.
    pub reason: FailureReason,
    /// Explanation for a human reader.
    pub detail: String,
    /// True if the request may have run when it was sent earlier under the same ticket.
    #[serde(default)]
    pub earlier_may_have_run: bool,
    /// Delay before the caller should retry, in milliseconds; `None` if a retry would not help.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Entries that the caller should retry at; empty means the same entry.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub addresses: Vec<EntryAddress>,
    /// Fresh tickets for a non-idempotent request.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tickets: Vec<String>,
}

impl FailureReport {
    /// Creates a report. Only [`RunClaim`](crate::RunClaim) calls this: it tracks whether a target
    /// may have received the request, so that the verdict always agrees with that.
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

    /// Sets the delay before the caller should retry.
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(delay.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// Sets the entries that the caller should retry at.
    pub fn with_addresses(mut self, addresses: Vec<EntryAddress>) -> Self {
        self.addresses = addresses;
        self
    }

    /// Sets the fresh tickets for the caller's retry.
    pub fn with_tickets(mut self, tickets: Vec<String>) -> Self {
        self.tickets = tickets;
        self
    }

    /// Records that the request may have run when it was sent earlier under the same ticket.
    pub fn with_earlier_may_have_run(mut self) -> Self {
        self.earlier_may_have_run = true;
        self
    }
}
