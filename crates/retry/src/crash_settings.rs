use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Limits of a [`CrashTracker`](crate::CrashTracker).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CrashTrackerSettings {
    /// Time after which a strike expires.
    #[serde(with = "humantime_serde")]
    pub lifetime: Duration,
    /// Maximum number of requests in the tracker; beyond it, the request whose strikes expire first
    /// is evicted.
    pub records: usize,
    /// Time for which calls of a request are held back after a peer reported a new strike, so that
    /// only that peer retries the request.
    pub peer_hold: Duration,
    /// Time for which calls of a request are held back after a strike on this entry, so that the
    /// entries can exchange their strikes before the request runs again.
    pub own_hold: Duration,
}

impl Default for CrashTrackerSettings {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_secs(600),
            records: 4_096,
            peer_hold: Duration::from_secs(2),
            own_hold: Duration::ZERO,
        }
    }
}
