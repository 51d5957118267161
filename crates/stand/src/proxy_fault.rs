use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Faults that the proxy injects into the bytes and datagrams of one direction.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DirectionFault {
    /// Keep everything back; nothing is read and nothing is closed.
    pub hold: bool,
    /// Time by which everything is late, in milliseconds.
    pub delay_ms: u64,
    /// Share of the datagrams that are lost.
    pub drop_share: f64,
    /// Share of the datagrams that are sent twice.
    pub duplicate_share: f64,
    /// Tell the receiver of a connection that its sender will send no more.
    pub half_close: bool,
    /// Most bytes of a connection that pass in a second; 0 means no bound.
    pub slow_bytes_per_s: u64,
}

/// Body of the proxy's `POST /fault`: the whole wanted behaviour.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProxyFault {
    /// Close all connections now and new ones at once; lose every datagram.
    pub cut: bool,
    /// Lose every datagram that comes from one of these addresses.
    pub cut_sources: Vec<SocketAddr>,
    /// What happens on the way to the server.
    pub to: DirectionFault,
    /// What happens on the way from the server.
    pub from: DirectionFault,
}

/// Body of the proxy's `POST /to`: the servers that it forwards to from now on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProxyDestination {
    /// Server of new connections; without one they are reset.
    pub tcp: Option<SocketAddr>,
    /// Server of datagrams; without one they are lost.
    pub udp: Option<SocketAddr>,
}
