use serde::{Deserialize, Serialize};

/// Phase of the daemon from service to the end of its shutdown. It never goes back to an earlier
/// one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryPhase {
    /// Callers are served.
    #[default]
    Serving,
    /// New address answers no longer contain this entry. Its requests are still served, since
    /// callers may hold an older answer.
    Leaving,
    /// New requests are refused, and running ones may finish.
    Refusing,
    /// Requests that still run are cut off with a final answer.
    Stopping,
}
