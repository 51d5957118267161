use serde::{Deserialize, Serialize};

/// Settings of a fair queue.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QueueSettings {
    /// Largest number of calls that may wait at once.
    pub places: usize,
    /// Target-seconds of other customers' work that an urgent call may overtake.
    pub urgent_lead: f64,
    /// Target-seconds of other customers' work that may overtake a bulk call.
    pub bulk_lag: f64,
    /// A call that waits keeps this many times its expected cost free until its deadline.
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
