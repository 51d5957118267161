use std::time::Duration;

/// Pace of the board.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GossipSettings {
    /// Time between rounds of datagrams.
    pub round: Duration,
    /// The same while a process that has started finds the others.
    pub first_round: Duration,
    /// Peers up to which all of them get a datagram in each round.
    pub small_fleet: usize,
    /// Peers that get a datagram in each round of a larger fleet.
    pub fan_out: usize,
    /// Notes of others that one datagram carries.
    pub relayed: usize,
    /// Signs of life that one datagram carries.
    pub pulses: usize,
    /// Age at which a note's host counts as silent in a small fleet.
    pub silent_after: Duration,
    /// The same in a larger fleet, where news takes a few rounds.
    pub silent_after_large: Duration,
    /// Age at which a note is forgotten.
    pub forget_after: Duration,
    /// Rounds between two datagrams to a seed that is not known to live.
    pub seed_rounds: u32,
}

impl Default for GossipSettings {
    fn default() -> Self {
        Self {
            round: Duration::from_millis(250),
            first_round: Duration::from_millis(100),
            small_fleet: 9,
            fan_out: 3,
            relayed: 4,
            pulses: 60,
            silent_after: Duration::from_millis(1_300),
            silent_after_large: Duration::from_millis(2_200),
            forget_after: Duration::from_secs(10),
            seed_rounds: 4,
        }
    }
}
