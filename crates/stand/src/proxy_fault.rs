use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Faults that the proxy injects into the bytes and datagrams of one direction.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DirectionFault {
    /// Stop the bytes of a connection without reading or closing; lose every datagram.
    pub hold: bool,
    /// Delay of every chunk of bytes and every datagram, in milliseconds.
    pub delay_ms: u64,
    /// Share of the datagrams that are lost, from 0 to 1.
    pub drop_share: f64,
    /// Share of the datagrams that are sent twice, from 0 to 1.
    pub duplicate_share: f64,
    /// End the direction of each connection as if its sender had shut it down.
    pub half_close: bool,
    /// Rate limit of each connection, in bytes per second; 0 means no limit.
    pub slow_bytes_per_s: u64,
}

/// Body of the proxy's `POST /fault`: all faults that it injects from now on.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProxyFault {
    /// Reset open connections now and new ones at once; lose every datagram.
    pub cut: bool,
    /// Lose every datagram sent from one of these addresses.
    pub cut_sources: Vec<SocketAddr>,
    /// Faults on the way to the server.
    pub to: DirectionFault,
    /// Faults on the way from the server.
    pub from: DirectionFault,
}

/// Body of the proxy's `POST /to`: the servers that it forwards to from now on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProxyDestination {
    /// Server that new connections go to; if absent, they are reset.
    pub tcp: Option<SocketAddr>,
    /// Server that datagrams go to; if absent, they are lost.
    pub udp: Option<SocketAddr>,
}
