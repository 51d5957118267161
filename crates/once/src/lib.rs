//! At-most-once execution without shared state: single-use tickets, and a registry of the tickets
//! that were spent at this process.
//!
//! A ticket can be spent only at the entry process (incarnation) that minted it. An unspent ticket
//! takes no memory there; a spent one has a row in the registry until it expires.

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
