use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Whether a failed request may have run on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunVerdict {
    /// No target has run any part of the request.
    NotRun,
    /// A target may have run a part of the request.
    MayHaveRun,
    /// A target has run a part of the request, and the request failed.
    RanAndFailed,
}

impl fmt::Display for RunVerdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::RanAndFailed => "ran_and_failed",
        };
        formatter.write_str(text)
    }
}
