use {
    crate::{caller::AnswerSender, drain::ExitPlan},
    std::{future::Future, time::Instant},
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
    sender: &AnswerSender,
    due: Instant,
    work: impl Future<Output = T>,
) -> Result<T, PumpStop> {
    tokio::select! {
        biased;
        outcome = work => Ok(outcome),
        () = sender.until_caller_left() => Err(PumpStop::CallerLeft),
        () = actix_rt::time::sleep_until(due.into()) => Err(PumpStop::DeadlinePassed),
        () = exit.until_cut() => Err(PumpStop::Exiting),
    }
}
