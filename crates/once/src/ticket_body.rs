use {
    base::{HostId, Incarnation},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// What a ticket says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketBody {
    /// Entry that minted the ticket.
    pub host: HostId,
    /// Incarnation of that entry; no other may spend the ticket.
    pub incarnation: Incarnation,
    /// Address of that entry for callers, `ip:port`.
    pub address: String,
    /// End of the ticket's time, counted from the start of the incarnation.
    pub expires: Duration,
    /// Tells the ticket from every other of the incarnation.
    pub nonce: u64,
}
