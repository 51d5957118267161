use serde::{Deserialize, Serialize};

/// How far the daemon is with its shutdown; it only ever moves forward.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryPhase {
    /// It serves callers.
    #[default]
    Serving,
    /// It stands in no new answer, and still accepts who holds an older one.
    Leaving,
    /// It refuses new requests and ends the running ones.
    Refusing,
    /// Running requests are cut with a final answer.
    Stopping,
}
