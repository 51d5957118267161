/// How a request has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestEnd {
    /// The answer of a target was written whole.
    Answered,
    /// A refusal was written whole.
    Refused,
    /// The caller closed the connection, or it was lost.
    CallerLeft,
    /// The stream was cut, since its target broke off and no other one could go on.
    CutByTarget,
    /// The stream was cut at the deadline.
    CutAtDeadline,
    /// The stream was cut at the end of the grace time of this process.
    CutAtExit,
    /// The process ended before the answer was written.
    Unfinished,
    /// A fault of this program ended the request.
    Panicked,
}

impl RequestEnd {
    /// All ends, in the order of their declaration.
    pub const ALL: [Self; 8] = [
        Self::Answered,
        Self::Refused,
        Self::CallerLeft,
        Self::CutByTarget,
        Self::CutAtDeadline,
        Self::CutAtExit,
        Self::Unfinished,
        Self::Panicked,
    ];

    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused => "refused",
            Self::CallerLeft => "caller_left",
            Self::CutByTarget => "cut_by_target",
            Self::CutAtDeadline => "cut_at_deadline",
            Self::CutAtExit => "cut_at_exit",
            Self::Unfinished => "unfinished",
            Self::Panicked => "panicked",
        }
    }

    /// Returns true if the caller has got a whole final answer.
    pub fn is_whole(self) -> bool {
        matches!(self, Self::Answered | Self::Refused)
    }
}
