use {
    serde::{Deserialize, Serialize},
    slog::{Drain, Logger, o},
    slog_async::AsyncGuard,
    std::io,
};

/// Log lines that may be queued; further ones are dropped and counted.
const LOG_QUEUE_LINES: usize = 8_192;

/// Least severe level of the log lines that are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Only faults that need an operator.
    Error,
    /// Also conditions that may need an operator soon.
    Warning,
    /// Also one line for each request.
    #[default]
    Info,
    /// Also one line for each decision.
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

/// Destination of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard output.
    Stdout,
    /// Standard error, for programs that print something else on standard output.
    Stderr,
}

/// Opens the structured log, which writes one JSON object per line. Dropping the guard writes the
/// lines that are still queued.
///
/// ```
/// use setup::{LogLevel, LogOutput};
///
/// let (log, _guard) = setup::open_log(LogLevel::Info, "camphor-entry", "h1", LogOutput::Stderr);
/// slog::info!(log, "started");
/// ```
pub fn open_log(
    level: LogLevel,
    program: impl Into<String>,
    name: impl Into<String>,
    output: LogOutput,
) -> (Logger, AsyncGuard) {
    let output: Box<dyn io::Write + Send> = match output {
        LogOutput::Stdout => Box::new(io::stdout()),
        LogOutput::Stderr => Box::new(io::stderr()),
    };
    let json = slog_json::Json::default(output).fuse();
    let queue = slog_async::Async::new(json).chan_size(LOG_QUEUE_LINES);
    let (queue, guard) = queue.build_with_guard();
    let drain = queue.fuse().filter_level(level.into()).fuse();
    let logger = Logger::root(
        drain,
        o!("program" => program.into(), "name" => name.into()),
    );
    (logger, guard)
}
