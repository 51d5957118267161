use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Pace and patience of the member table; the defaults suit today's size and the design's.
///
/// ```
/// let settings = member::MemberSettings::default();
/// assert!(settings.hot_round < settings.idle_round);
/// ```
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MemberSettings {
    /// Addresses for peers, `ip:port`, to try while no member is known.
    #[serde(skip)]
    pub seeds: Vec<String>,
    /// Time between heartbeats when there is no urgent news.
    #[serde(with = "humantime_serde")]
    pub idle_round: Duration,
    /// Members that get a heartbeat in an idle round.
    pub idle_fan_out: usize,
    /// Time between heartbeats while there is urgent news.
    #[serde(with = "humantime_serde")]
    pub hot_round: Duration,
    /// Members that get a heartbeat in a hot round.
    pub hot_fan_out: usize,
    /// Bytes a second that may be sent, with IP and UDP headers; answers to peers count but are
    /// never held back.
    pub bytes_per_second: u32,
    /// Time between probes.
    #[serde(with = "humantime_serde")]
    pub probe_round: Duration,
    /// Time for the answer to a direct probe.
    #[serde(with = "humantime_serde")]
    pub direct_timeout: Duration,
    /// Time for the answers to indirect probes.
    #[serde(with = "humantime_serde")]
    pub indirect_timeout: Duration,
    /// Members asked to probe for this one.
    pub probe_helpers: usize,
    /// Rounds of direct and indirect probes that must fail before a member is a suspect.
    pub probe_attempts: u32,
    /// Longest gap between ticks after which this process still trusts its own clock.
    #[serde(with = "humantime_serde")]
    pub lease: Duration,
    /// Time to listen after a longer gap before anyone is probed.
    #[serde(with = "humantime_serde")]
    pub listen: Duration,
    /// Time that the host list may lag: a mark on a younger process may mean the one before.
    #[serde(with = "humantime_serde")]
    pub list_lag: Duration,
    /// Time for which the list must show a host or target live, after it showed it leaving,
    /// before the list's own mark is taken back.
    #[serde(with = "humantime_serde")]
    pub live_hold: Duration,
    /// Time after which a suspect that the list does not name is forgotten.
    #[serde(with = "humantime_serde")]
    pub forget_after: Duration,
    /// Transmissions of each rumour for every doubling of the fleet.
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
