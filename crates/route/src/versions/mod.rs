mod stream_origins;
mod version_history;
mod version_rule;

pub use {
    stream_origins::{AttemptKey, StreamOrigin, StreamOrigins, attempt_key},
    version_history::VersionHistory,
    version_rule::VersionRule,
};
