use {
    crate::{
        drain::ExitTimes,
        ledger::RequestEnd,
        shared::{RelayCore, RelayPhase},
    },
    slog::{info, warn},
    std::{future::Future, time::Instant},
    tokio::{
        signal::unix::Signal,
        sync::watch,
        time::{sleep_until, timeout_at},
    },
};

/// Waits for SIGTERM. Then accepts requests for a while until callers have switched to other
/// entries, and returns when all requests have got their final answers and `serving` has ended with
/// their connections and the jobs of other entries, or when the grace time is nearly over.
pub async fn shut_down_gracefully(
    core: &RelayCore,
    mut terminations: Signal,
    closing: watch::Sender<bool>,
    serving: impl Future<Output = ()>,
) {
    terminations.recv().await;
    // The settings may have changed since the start.
    let grace = core.settings.borrow().bounds.grace;
    let times = ExitTimes::new(Instant::now(), grace);
    core.phase.set(RelayPhase::Leaving);
    core.exit.begin(times);
    info!(core.log, "leaving"; "running" => core.ledger.open_count(),
        "grace_ms" => grace.as_millis() as u64);
    sleep_until(times.accept_until.into()).await;
    closing.send_replace(true);
    // What has not ended by then is named below.
    let _ = timeout_at(times.exit_at.into(), serving).await;
    record_unfinished(core);
    info!(core.log, "stopped"; "unfinished" => core.ledger.open_count());
}

/// Names the requests that end with this process.
fn record_unfinished(core: &RelayCore) {
    for request in core.ledger.open_requests() {
        if request.end().is_none_or(RequestEnd::is_whole) {
            request.set_end(RequestEnd::Unfinished);
        }
        warn!(core.log, "request unfinished"; "request" => request.id(),
            "place" => request.place().to_string(), "verdict" => request.verdict().to_string(),
            "ms" => request.arrived().elapsed().as_millis() as u64);
    }
}
