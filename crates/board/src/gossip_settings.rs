use std::time::Duration;

/// Intervals, sizes and timeouts of the gossip among hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GossipSettings {
    /// Interval between gossip rounds.
    pub round_interval: Duration,
    /// Interval between gossip rounds until the process is settled, see
    /// [`HostRecord::settled`](crate::HostRecord::settled).
    pub startup_round_interval: Duration,
    /// Largest number of peers in a small fleet. In a small fleet every peer gets the message of
    /// each round.
    pub small_fleet_max_peers: usize,
    /// Number of peers that get each round's message in a larger fleet.
    pub fan_out: usize,
    /// Largest number of records of other hosts in one message.
    pub max_relayed_records: usize,
    /// Largest number of heartbeats in one message.
    pub max_heartbeats: usize,
    /// A host of a small fleet counts as dead once its latest record or heartbeat is this old.
    pub silence_timeout: Duration,
    /// `silence_timeout` of a larger fleet, where heartbeats take a few rounds to arrive.
    pub large_fleet_silence_timeout: Duration,
    /// A record is deleted once it and its latest heartbeat are this old.
    pub forget_after: Duration,
    /// Number of rounds between two messages to a seed at which this process knows no live host.
    pub seed_interval_rounds: u32,
}

impl Default for GossipSettings {
    fn default() -> Self {
        Self {
            round_interval: Duration::from_millis(250),
            startup_round_interval: Duration::from_millis(100),
            small_fleet_max_peers: 9,
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
