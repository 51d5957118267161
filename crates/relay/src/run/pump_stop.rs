use {
    crate::{caller::BodyCut, drain::ExitPlan},
    bytes::Bytes,
    std::{future::Future, time::Instant},
    tokio::sync::mpsc,
};

/// Why forwarding stops before the stream has ended.
pub enum PumpStop {
    CallerLeft,
    DeadlinePassed,
    /// This process exits.
    Exiting,
}

/// Returns the output of the work, or the reason to stop if the caller leaves, the time `due` passes or
/// this process exits before the work is done.
pub async fn unless_stopped<T>(
    exit: &ExitPlan,
    sender: &mpsc::Sender<Result<Bytes, BodyCut>>,
    due: Instant,
    work: impl Future<Output = T>,
) -> Result<T, PumpStop> {
    tokio::select! {
        biased;
        outcome = work => Ok(outcome),
        () = sender.closed() => Err(PumpStop::CallerLeft),
        () = actix_rt::time::sleep_until(due.into()) => Err(PumpStop::DeadlinePassed),
        () = exit.until_cut() => Err(PumpStop::Exiting),
    }
}
