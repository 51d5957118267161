use serde::{Deserialize, Serialize};

/// Settings of a fair queue.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QueueSettings {
    /// Largest number of calls that may wait at once.
    pub places: usize,
    /// Largest amount of other customers' work that an urgent call may overtake, in target-seconds.
    pub urgent_lead: f64,
    /// Largest amount of other customers' work that may overtake a bulk call, in target-seconds.
    pub bulk_lag: f64,
    /// Time before the deadline in which a call may no longer wait, as a multiple of its expected
    /// cost. The part beyond the cost itself is at most half of the spare time.
    pub start_margin: f64,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            places: 1_024,
            urgent_lead: 10.0,
            bulk_lag: 20.0,
            start_margin: 2.0,
        }
    }
}
