use {
    base::{HostId, Incarnation},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Content of a ticket, without its keyed hash.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketBody {
    /// Host of the entry that minted the ticket.
    pub host: HostId,
    /// Incarnation of that entry; no other may spend the ticket.
    pub incarnation: Incarnation,
    /// Address of that entry for callers, `ip:port`.
    pub address: String,
    /// Time of expiry, counted from the start of the incarnation.
    pub expires: Duration,
    /// Random number that identifies the ticket within its incarnation.
    pub nonce: u64,
}
