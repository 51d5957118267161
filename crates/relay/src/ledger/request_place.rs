use std::fmt;

/// Where an open request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestPlace {
    /// Its body is being read.
    Body,
    /// It is checked and admitted.
    Admission,
    /// Its stages run, or wait for their pools.
    Stages,
    /// A target or another entry is chosen for it.
    Choice,
    /// It was sent, and its answer has not begun.
    Sent,
    /// Events of its answer are passed on.
    Events,
    /// Its answer is known whole and is being written.
    Writing,
}

impl fmt::Display for RequestPlace {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Body => "body",
            Self::Admission => "admission",
            Self::Stages => "stages",
            Self::Choice => "choice",
            Self::Sent => "sent",
            Self::Events => "events",
            Self::Writing => "writing",
        })
    }
}
