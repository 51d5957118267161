use {
    futures_util::FutureExt,
    std::{future::Future, panic::AssertUnwindSafe},
};

/// The work has ended by a panic. The panic hook has logged it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PanicCaught;

/// Runs work that may panic. Shared state stays usable, since a panic gives back what the work has
/// borrowed; a change that it was making may be left half done.
///
/// # Errors
///
/// Fails if the work panics.
pub async fn catch_panic<T>(work: impl Future<Output = T>) -> Result<T, PanicCaught> {
    let outcome = AssertUnwindSafe(work).catch_unwind().await;
    outcome.map_err(|_| PanicCaught)
}
