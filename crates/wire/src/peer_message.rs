use {
    crate::{PeerIdentity, PeerInfo, PeerRumour},
    base::HostId,
    serde::{Deserialize, Serialize},
    stamp::HybridTime,
};

/// Membership message between daemons, sent as one datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Describes the sender and passes on rumours.
    Heartbeat {
        /// Description of the sending process.
        sender: PeerInfo,
        /// Hybrid logical time at which the message was sent.
        stamp: HybridTime,
        /// Rumours, as many as fit into the datagram.
        rumours: Vec<PeerRumour>,
    },
    /// Asks whether the receiver is alive.
    Probe {
        /// Process that asks.
        sender: PeerIdentity,
        /// Number that the answer repeats.
        nonce: u64,
    },
    /// Confirms that the probed process is alive.
    ProbeAck {
        /// Process that was probed.
        sender: PeerIdentity,
        /// Number of the probe.
        nonce: u64,
    },
    /// Asks for a heartbeat filled with the receiver's state; sent after the sender has started.
    FactRequest {
        /// Process that asks.
        sender: PeerIdentity,
        /// Index of the first fact to send; the receiver takes it modulo the number of its facts.
        from: u32,
    },
    /// Asks the receiver to probe another host and pass on its answer (an indirect probe).
    ProbeRequest {
        /// Process that asks.
        sender: PeerIdentity,
        /// Host to probe.
        about: HostId,
        /// Address of that host, `ip:port`.
        address: String,
        /// Number that the answer repeats.
        nonce: u64,
    },
}

impl PeerMessage {
    /// Sets the time of a heartbeat, right before the message is sealed; other messages carry
    /// no time and stay as they are.
    pub fn with_stamp(mut self, time: HybridTime) -> Self {
        if let Self::Heartbeat { stamp, .. } = &mut self {
            *stamp = time;
        }
        self
    }

    /// Returns the sender's time, or `None` if the message is no heartbeat.
    pub fn stamp(&self) -> Option<HybridTime> {
        match self {
            Self::Heartbeat { stamp, .. } => Some(*stamp),
            _ => None,
        }
    }
}
