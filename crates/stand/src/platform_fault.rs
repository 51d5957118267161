use serde::{Deserialize, Serialize};

/// How the configuration service answers its readers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformMode {
    /// It answers with the values published last.
    #[default]
    Ok,
    /// It closes connections without an answer.
    Down,
    /// It answers with the values that were published when the mode was set.
    Stale,
}

/// Body of the platform's `POST /fault`; an absent key leaves that fault as it is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFault {
    /// How readers are answered.
    pub mode: Option<PlatformMode>,
    /// Age in milliseconds at which a published host list becomes visible to readers.
    pub hosts_lag_ms: Option<u64>,
}
