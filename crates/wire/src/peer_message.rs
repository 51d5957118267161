use {
    crate::{PeerIdentity, PeerInfo, PeerRumour},
    base::HostId,
    serde::{Deserialize, Serialize},
    stamp::HybridTime,
};

/// A message between daemons that fits into one datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// What the sender says of itself, with news.
    Heartbeat {
        /// The sender.
        sender: PeerInfo,
        /// Hybrid logical time of the sender.
        stamp: HybridTime,
        /// News, bounded by the size of the datagram.
        rumours: Vec<PeerRumour>,
    },
    /// Asks for a sign of life.
    Probe {
        /// Process that asks.
        sender: PeerIdentity,
        /// Number that the answer repeats.
        nonce: u64,
    },
    /// Answers a probe.
    ProbeAck {
        /// Process that was probed.
        sender: PeerIdentity,
        /// Number of the probe.
        nonce: u64,
    },
    /// Asks for a heartbeat full of what the receiver knows, after the sender has started.
    FactRequest {
        /// Process that asks.
        sender: PeerIdentity,
        /// Position in the receiver's facts, taken modulo their number.
        from: u32,
    },
    /// Asks the receiver to probe another host and pass on its answer.
    ProbeRequest {
        /// Process that asks.
        sender: PeerIdentity,
        /// Host to be probed.
        about: HostId,
        /// Address of that host, `ip:port`.
        address: String,
        /// Number that the answer repeats.
        nonce: u64,
    },
}

impl PeerMessage {
    /// The message with the sender's time, to be set right before it is sealed.
    pub fn with_stamp(mut self, time: HybridTime) -> Self {
        if let Self::Heartbeat { stamp, .. } = &mut self {
            *stamp = time;
        }
        self
    }

    /// Time of the sender, if the message carries one.
    pub fn stamp(&self) -> Option<HybridTime> {
        match self {
            Self::Heartbeat { stamp, .. } => Some(*stamp),
            _ => None,
        }
    }
}
