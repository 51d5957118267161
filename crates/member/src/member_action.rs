use {crate::MemberEvent, wire::PeerMessage};

/// Action that the daemon carries out for its member table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberAction {
    /// Send a datagram; the sender sets the time stamp of a heartbeat.
    Send {
        /// Address of the receiver, `ip:port`.
        to: String,
        /// Message to seal into the datagram.
        message: PeerMessage,
    },
    /// Log a change of the table and publish the new state.
    Changed(MemberEvent),
}
