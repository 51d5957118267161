use std::fmt;

/// Why the text of a ticket was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TicketError {
    /// The text does not decode as a ticket.
    Malformed,
    /// The keyed hash does not match the content.
    Forged,
}

impl fmt::Display for TicketError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Malformed => "the ticket is malformed",
            Self::Forged => "the ticket's keyed hash does not match its content",
        };
        formatter.write_str(text)
    }
}

impl std::error::Error for TicketError {}
