use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Intervals, time-outs and limits of the member table. The defaults suit both the present fleet
/// size and the one that the system is designed for.
///
/// ```
/// let settings = member::MemberSettings::default();
/// assert!(settings.hot_round < settings.idle_round);
/// ```
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MemberSettings {
    /// Peer addresses, `ip:port`, that are tried as well while no peer answers.
    #[serde(skip)]
    pub seeds: Vec<String>,
    /// Time between rounds of heartbeats while there is no news to send.
    #[serde(with = "humantime_serde")]
    pub idle_round: Duration,
    /// Number of members that get a heartbeat in an idle round.
    pub idle_fan_out: usize,
    /// Time between rounds of heartbeats while there is news to send.
    #[serde(with = "humantime_serde")]
    pub hot_round: Duration,
    /// Number of members that get a heartbeat in a hot round.
    pub hot_fan_out: usize,
    /// Limit of the bytes sent per second, with IP and UDP headers. Regular probes and answers to
    /// probes count against it but are never held back.
    pub bytes_per_second: u32,
    /// Time between two regular probes.
    #[serde(with = "humantime_serde")]
    pub probe_round: Duration,
    /// Time-out of a direct probe.
    #[serde(with = "humantime_serde")]
    pub direct_timeout: Duration,
    /// Time-out of indirect probes.
    #[serde(with = "humantime_serde")]
    pub indirect_timeout: Duration,
    /// Number of members that are asked to probe indirectly.
    pub probe_helpers: usize,
    /// Number of failed attempts after which a member is a suspect. An attempt is a direct probe,
    /// followed by indirect ones if it times out.
    pub probe_attempts: u32,
    /// A longer gap between two ticks counts as a pause of this process.
    #[serde(with = "humantime_serde")]
    pub lease: Duration,
    /// Time without probes after a pause, in which this process only listens.
    #[serde(with = "humantime_serde")]
    pub listen: Duration,
    /// Longest time by which the host list may lag. A leaving mark in the list may concern the
    /// previous process of the host if the present one has been known for less than this.
    #[serde(with = "humantime_serde")]
    pub list_lag: Duration,
    /// Time for which the host list must show a host or target as live again before the leaving
    /// mark that came from the list is cleared.
    #[serde(with = "humantime_serde")]
    pub live_hold: Duration,
    /// Time after which a suspect that the host list does not name is removed.
    #[serde(with = "humantime_serde")]
    pub forget_after: Duration,
    /// Number of times that a rumour is sent for every doubling of the fleet size.
    pub rumour_factor: u32,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            idle_round: Duration::from_millis(500),
            idle_fan_out: 2,
            hot_round: Duration::from_millis(150),
            hot_fan_out: 3,
            bytes_per_second: 3_500,
            probe_round: Duration::from_secs(1),
            direct_timeout: Duration::from_millis(300),
            indirect_timeout: Duration::from_millis(600),
            probe_helpers: 3,
            probe_attempts: 2,
            lease: Duration::from_secs(2),
            listen: Duration::from_secs(4),
            list_lag: Duration::from_secs(15),
            live_hold: Duration::from_secs(30),
            forget_after: Duration::from_secs(60),
            rumour_factor: 3,
        }
    }
}
