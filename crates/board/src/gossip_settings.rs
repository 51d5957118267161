use std::time::Duration;

/// Pace of the board.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GossipSettings {
    /// Time between rounds of datagrams.
    pub round_interval: Duration,
    /// The same while a process that has started finds the others.
    pub startup_round_interval: Duration,
    /// Peers up to which all of them get a datagram in each round.
    pub max_small_fleet: usize,
    /// Peers that get a datagram in each round of a larger fleet.
    pub fan_out: usize,
    /// Notes of others that one datagram carries.
    pub max_relayed_records: usize,
    /// Signs of life that one datagram carries.
    pub max_heartbeats: usize,
    /// Age at which a note's host counts as silent in a small fleet.
    pub silence_timeout: Duration,
    /// The same in a larger fleet, where news takes a few rounds.
    pub large_fleet_silence_timeout: Duration,
    /// Age at which a note is forgotten.
    pub forget_after: Duration,
    /// Rounds between two datagrams to a seed that is not known to live.
    pub seed_interval_rounds: u32,
}

impl Default for GossipSettings {
    fn default() -> Self {
        Self {
            round_interval: Duration::from_millis(250),
            startup_round_interval: Duration::from_millis(100),
            max_small_fleet: 9,
            fan_out: 3,
            max_relayed_records: 4,
            max_heartbeats: 60,
            silence_timeout: Duration::from_millis(1_300),
            large_fleet_silence_timeout: Duration::from_millis(2_200),
            forget_after: Duration::from_secs(10),
            seed_interval_rounds: 4,
        }
    }
}
