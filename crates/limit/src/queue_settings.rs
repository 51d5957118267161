use serde::{Deserialize, Serialize};

/// Bounds of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QueueSettings {
    /// Calls that may wait at once.
    pub places: usize,
    /// Target-seconds of other customers' work that an urgent call may go ahead of.
    pub urgent_lead: f64,
    /// Target-seconds of other customers' work that a bulk call lets go ahead.
    pub bulk_lag: f64,
    /// Times its expected cost that is kept free for a call that waits.
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
