use {
    base::{CallIdentity, Incarnation},
    serde::{Deserialize, Serialize},
};

/// How far a call at a target has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// It waits or runs.
    Running,
    /// It ran and was answered.
    Done,
    /// Its caller went away before the answer was whole.
    Cancelled,
    /// It was refused and ran nothing.
    Refused,
    /// It was answered with an error.
    Failed,
}

/// One call as a target saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Which call it was.
    pub call: CallIdentity,
    /// Kind of call.
    pub name: String,
    /// Digest of the input, hexadecimal.
    pub input_digest: String,
    /// When it arrived, in microseconds since the Unix epoch.
    pub started_us: u64,
    /// How far it has come.
    pub outcome: CallOutcome,
    /// Tokens that were sent; 0 at a plain service.
    pub tokens_sent: u64,
}

/// What a target says of itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetHealth {
    /// Calls running over calls it can run, as it reports it.
    pub load: f64,
    /// True if it is leaving.
    pub leaving: bool,
    /// Start of the process.
    pub incarnation: Incarnation,
    /// Models that an engine has loaded.
    #[serde(default)]
    pub models: Vec<String>,
}
