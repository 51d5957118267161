use {crate::MemberEvent, wire::PeerMessage};

/// What the daemon is to do for its member table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberAction {
    /// Send a datagram; the stamp of a heartbeat is still to be set.
    Send {
        /// Address, `ip:port`.
        to: String,
        /// Content of the datagram.
        message: PeerMessage,
    },
    /// Take note of a change.
    Changed(MemberEvent),
}
