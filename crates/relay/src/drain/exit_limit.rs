use {
    crate::{dialect::RelayRefusal, ledger::OpenRequest, shared::RelayCore},
    base::{FailureReason, RunVerdict},
    std::time::{Duration, Instant},
};

/// Interval of checks whether a request has been sent.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until a request whose answer has not begun can no longer be answered before this process
/// exits, and returns its refusal. Never ends unless the process is shutting down.
pub async fn until_exit_limit(core: &RelayCore, request: &OpenRequest) -> RelayRefusal {
    let times = core.exit.until_begun().await;
    loop {
        let needed_time = match request.verdict() {
            RunVerdict::NotRun => request.needed_time(),
            // It may be answered at any moment.
            RunVerdict::MayHaveRun | RunVerdict::RanAndFailed => Duration::ZERO,
        };
        let time_left = times.answer_by.saturating_duration_since(Instant::now());
        if time_left <= needed_time {
            return exit_refusal(request);
        }
        let spare_time = time_left - needed_time;
        actix_rt::time::sleep(spare_time.min(CHECK_INTERVAL)).await;
    }
}

/// Returns the refusal of a request that this process cannot answer any more. Other entries can, at
/// once.
fn exit_refusal(request: &OpenRequest) -> RelayRefusal {
    let detail = format!("this entry exits, the request was at {}", request.place());
    let verdict = request.verdict();
    RelayRefusal {
        verdict,
        retry_after: (verdict == RunVerdict::NotRun).then_some(Duration::ZERO),
        ..RelayRefusal::not_run(FailureReason::Leaving, detail)
    }
}
