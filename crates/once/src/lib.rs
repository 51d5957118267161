//! At most once without shared state: single-use tickets, and the book of those spent here.
//!
//! A ticket can be spent only at the incarnation of the entry that minted it. Until it is spent
//! it costs the entry no memory; once spent, its row is kept until the ticket's time is over.

mod recorded_answer;
mod ticket_body;
mod ticket_error;
mod ticket_mint;
mod ticket_registry;

pub use {
    recorded_answer::RecordedAnswer,
    ticket_body::TicketBody,
    ticket_error::TicketError,
    ticket_mint::TicketMint,
    ticket_registry::{RegistryLimits, SpendOutcome, TicketRegistry},
};
