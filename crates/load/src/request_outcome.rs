use {
    base::{FailureReason, RunVerdict},
    serde::{Deserialize, Serialize},
};

/// Fault of an answer that claims to be complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerFault {
    /// It is only the beginning of the correct answer.
    Cut,
    /// Its length, digest or framing is inconsistent.
    Broken,
    /// It is consistent with its own digest but not the answer to this request.
    Misdelivered,
}

/// Outcome of one request as its caller sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The correct answer arrived completely.
    Whole,
    /// An answer arrived that no entry may produce.
    Faulty(AnswerFault),
    /// The last answer was an entry's report that the request failed.
    Refused {
        /// Whether the request ran, according to the entry.
        verdict: RunVerdict,
        /// Reason that the entry gave.
        reason: FailureReason,
        /// True if this send or an earlier one may have run.
        earlier_may_have_run: bool,
    },
    /// A connection broke, and no time was left to send again, or a non-idempotent request had no
    /// ticket to send again with.
    Interrupted,
    /// No entry could be reached before the deadline.
    Unreachable,
    /// The answer did not end within the deadline and its grace time, on an open connection.
    Unanswered,
}

impl RequestOutcome {
    /// Returns the name under which reports count the outcome; `verdict:reason` for a refusal.
    ///
    /// ```
    /// assert_eq!(load::RequestOutcome::Whole.name(), "whole");
    /// ```
    pub fn name(&self) -> String {
        match self {
            Self::Whole => String::from("whole"),
            Self::Faulty(AnswerFault::Cut) => String::from("cut"),
            Self::Faulty(AnswerFault::Broken) => String::from("broken"),
            Self::Faulty(AnswerFault::Misdelivered) => String::from("misdelivered"),
            Self::Refused {
                verdict, reason, ..
            } => format!("{verdict}:{reason}"),
            Self::Interrupted => String::from("interrupted"),
            Self::Unreachable => String::from("unreachable"),
            Self::Unanswered => String::from("unanswered"),
        }
    }
}
