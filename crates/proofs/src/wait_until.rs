use std::time::{Duration, Instant};

/// Time between two looks at a condition.
const LOOK_STEP: Duration = Duration::from_millis(10);

/// Waits until a condition holds.
///
/// # Errors
///
/// Fails if it does not hold within the limit.
///
/// ```
/// use std::time::Duration;
///
/// # actix_rt::System::new().block_on(async {
/// proofs::wait_until("it holds", Duration::from_secs(1), async || true).await.unwrap();
/// # });
/// ```
pub async fn wait_until(
    what: &str,
    limit: Duration,
    mut condition: impl AsyncFnMut() -> bool,
) -> anyhow::Result<()> {
    let end = Instant::now() + limit;
    while !condition().await {
        anyhow::ensure!(Instant::now() < end, "not within {limit:?}: {what}");
        actix_rt::time::sleep(LOOK_STEP).await;
    }
    Ok(())
}
