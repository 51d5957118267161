use std::time::{Duration, Instant};

/// Pause between two checks of the condition.
const POLL_PAUSE: Duration = Duration::from_millis(10);

/// Checks a condition again and again until it holds. The description of the condition appears in
/// the error.
///
/// # Errors
///
/// Fails if the condition does not hold within the timeout.
///
/// ```
/// use std::time::Duration;
///
/// # actix_rt::System::new().block_on(async {
/// proofs::wait_until("it holds", Duration::from_secs(1), async || true).await.unwrap();
/// # });
/// ```
pub async fn wait_until(
    description: &str,
    timeout: Duration,
    mut condition: impl AsyncFnMut() -> bool,
) -> anyhow::Result<()> {
    let deadline = Instant::now() + timeout;
    while !condition().await {
        anyhow::ensure!(
            Instant::now() < deadline,
            "not within {timeout:?}: {description}"
        );
        actix_rt::time::sleep(POLL_PAUSE).await;
    }
    Ok(())
}
