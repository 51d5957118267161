use std::fmt;

/// Why the text of a ticket was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TicketError {
    /// The text is no ticket.
    Malformed,
    /// The keyed hash is wrong.
    Forged,
}

impl fmt::Display for TicketError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Malformed => "the ticket is malformed",
            Self::Forged => "the ticket's keyed hash is wrong",
        };
        formatter.write_str(text)
    }
}

impl std::error::Error for TicketError {}
