use std::time::Duration;

/// Intervals, sizes and timeouts of the gossip among hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GossipSettings {
    /// Interval between gossip rounds.
    pub round_interval: Duration,
    /// Interval between gossip rounds until the process is settled, that is, knows the other hosts.
    pub startup_round_interval: Duration,
    /// Number of peers up to which a fleet is small: every peer then gets each round's message.
    pub max_small_fleet: usize,
    /// Number of peers that get each round's message in a larger fleet.
    pub fan_out: usize,
    /// Number of records of other hosts in one message.
    pub max_relayed_records: usize,
    /// Number of heartbeats in one message.
    pub max_heartbeats: usize,
    /// Age of a record or its latest heartbeat from which its host does not count as live, in a
    /// small fleet.
    pub silence_timeout: Duration,
    /// The same in a larger fleet, where heartbeats take a few rounds to arrive.
    pub large_fleet_silence_timeout: Duration,
    /// Age of a record or its latest heartbeat from which the record is deleted.
    pub forget_after: Duration,
    /// Number of rounds between two messages to a seed that is not known to be live.
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
