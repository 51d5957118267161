use {
    base::{FailureReason, RunVerdict},
    serde::{Deserialize, Serialize},
};

/// What is wrong with an answer that was passed off as whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerFault {
    /// It is the right answer's beginning and says that it is whole.
    Cut,
    /// Its length, digest or framing do not fit.
    Broken,
    /// It is whole by its own digest but not the answer to this request.
    Misdelivered,
}

/// How one request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The right answer came whole.
    Whole,
    /// An answer came that must never come.
    Faulty(AnswerFault),
    /// An entry said that the request failed.
    Refused {
        /// What the entry said of the run.
        verdict: RunVerdict,
        /// Why it failed.
        reason: FailureReason,
        /// True if an earlier send may have run.
        earlier_may_have_run: bool,
    },
    /// The last connection broke, and no time was left for another.
    Interrupted,
    /// No entry could be reached.
    Unreachable,
    /// A connection stayed open past the deadline and its grace without a word.
    Unanswered,
}

impl RequestOutcome {
    /// The outcome as it stands in counts.
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
