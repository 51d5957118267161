//! Start-up parts that all programs share: settings, logs, metrics, an HTTP server and the ready line.

mod http;
mod log_setup;
mod metric_registry;
mod panic_log;
mod process_probe;
mod ready_line;
mod settings_file;
mod start_error;

pub use {
    http::{
        HttpBody, HttpLimits, HttpReply, OpenConnection, ReplyFollower, RequestBody, UploadFault,
        UploadLimits, WholeUpload, close_unread, discard_body, follow_reply, json_reply, read_body,
        read_upload, serve_http, text_reply,
    },
    log_setup::{LogLevel, LogOutput, open_log},
    metric_registry::MetricRegistry,
    panic_log::log_panics,
    process_probe::is_process_gone,
    ready_line::ReadyLine,
    settings_file::load_settings,
    start_error::{StartError, exit_code},
};
