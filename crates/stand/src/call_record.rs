use {
    base::{CallIdentity, Incarnation},
    serde::{Deserialize, Serialize},
};

/// State of a call at a target stand-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// It waits for a slot or runs.
    Running,
    /// It ran and was answered.
    Done,
    /// Its caller left before the whole answer was sent.
    Cancelled,
    /// It was refused without running.
    Refused,
    /// It was answered with an error, or its answer was cut.
    Failed,
}

/// One call that a target stand-in received: an item of the answer to `GET /records`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Customer, request, stage and attempt.
    pub call: CallIdentity,
    /// Kind of call, such as `encode`.
    pub name: String,
    /// Hexadecimal digest of the input.
    pub input_digest: String,
    /// When it arrived, in microseconds since the Unix epoch.
    pub started_us: u64,
    /// Whether it still runs, or how it ended.
    pub outcome: CallOutcome,
    /// Tokens of the stream that were sent; 0 at a plain service.
    pub tokens_sent: u64,
}

/// Body of a target's answer to `GET /health`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetHealth {
    /// Running calls as a share of the slots; an engine may report an older value.
    pub load: f64,
    /// True if the target is leaving.
    pub leaving: bool,
    /// Start of the process, in microseconds since the Unix epoch.
    pub incarnation: Incarnation,
    /// Models that the engine has loaded; empty for a plain service.
    #[serde(default)]
    pub models: Vec<String>,
}
