use serde::{Deserialize, Serialize};

/// How the configuration service behaves towards its readers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformMode {
    /// It answers with what was published.
    #[default]
    Ok,
    /// It closes connections without an answer.
    Down,
    /// It answers with what was published when the mode was set.
    Stale,
}

/// Body of the platform's `POST /fault`; absent keys stay as they are.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFault {
    /// Behaviour towards readers.
    pub mode: Option<PlatformMode>,
    /// Milliseconds by which the host list lags behind.
    pub hosts_lag_ms: Option<u64>,
}
