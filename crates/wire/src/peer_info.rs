use {
    crate::PeerIdentity,
    base::{CentreId, HostId, Incarnation, SheetVersion},
    serde::{Deserialize, Serialize},
};

/// Description that a daemon publishes of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerInfo {
    /// Name of its host.
    pub host: HostId,
    /// Start time of the process.
    pub incarnation: Incarnation,
    /// Data centre of its host.
    pub data_centre: CentreId,
    /// Address that callers connect to, `ip:port`.
    pub callers: String,
    /// Address for other daemons, `ip:port`.
    pub peers: String,
    /// Capacity of the host on a scale that all hosts share; customers are spread over the entries
    /// by this weight.
    pub size: u32,
    /// True if it is shutting down.
    pub leaving: bool,
    /// Version of the sheet that it has in force, 0 if none.
    pub sheet_version: SheetVersion,
    /// First eight bytes of the digest of that sheet, 0 if none.
    pub sheet_digest: [u8; 8],
}

impl PeerInfo {
    /// Describes a daemon of size 1 that has no sheet and is not leaving.
    ///
    /// ```
    /// let info = wire::PeerInfo::new("h1", 5, "dc1", "10.0.0.1:80", "10.0.0.1:81");
    /// assert_eq!(info.identity().incarnation, 5);
    /// ```
    pub fn new(
        host: impl Into<HostId>,
        incarnation: Incarnation,
        data_centre: impl Into<CentreId>,
        callers: impl Into<String>,
        peers: impl Into<String>,
    ) -> Self {
        Self {
            host: host.into(),
            incarnation,
            data_centre: data_centre.into(),
            callers: callers.into(),
            peers: peers.into(),
            size: 1,
            leaving: false,
            sheet_version: 0,
            sheet_digest: [0; 8],
        }
    }

    /// Returns the host and incarnation of the process.
    pub fn identity(&self) -> PeerIdentity {
        PeerIdentity {
            host: self.host.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// Returns the first eight bytes of a digest, which is the short form that heartbeats carry; zeros
/// if `digest` does not start with 16 hexadecimal digits.
///
/// ```
/// assert_eq!(wire::short_digest("0102030405060708ff"), [1, 2, 3, 4, 5, 6, 7, 8]);
/// assert_eq!(wire::short_digest("no digest"), [0; 8]);
/// ```
pub fn short_digest(digest: &str) -> [u8; 8] {
    let prefix = digest.get(..16).unwrap_or_default();
    match u64::from_str_radix(prefix, 16) {
        Ok(number) => number.to_be_bytes(),
        Err(_) => [0; 8],
    }
}
