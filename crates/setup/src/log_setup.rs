use {
    serde::{Deserialize, Serialize},
    slog::{Drain, Logger, o},
    std::io,
};

/// Log lines that may wait to be written before further ones are dropped and counted.
const LOG_QUEUE_LINES: usize = 8_192;

/// Least severe level that is written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Only what needs an operator.
    Error,
    /// Also what may need one soon.
    Warning,
    /// Also one line for each request.
    #[default]
    Info,
    /// Also each decision.
    Debug,
}

impl From<LogLevel> for slog::Level {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Error => Self::Error,
            LogLevel::Warning => Self::Warning,
            LogLevel::Info => Self::Info,
            LogLevel::Debug => Self::Debug,
        }
    }
}

/// Opens the structured log on standard error: one JSON object a line.
pub fn open_log(level: LogLevel, program: impl Into<String>, name: impl Into<String>) -> Logger {
    let json = slog_json::Json::default(io::stderr()).fuse();
    let queue = slog_async::Async::new(json)
        .chan_size(LOG_QUEUE_LINES)
        .build()
        .fuse();
    let drain = queue.filter_level(level.into()).fuse();
    Logger::root(
        drain,
        o!("program" => program.into(), "name" => name.into()),
    )
}
