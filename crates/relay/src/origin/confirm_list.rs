use {
    crate::shared::{RelayCore, boot_time},
    std::time::Duration,
};

/// Time within which the store must confirm the list of targets.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(700);

/// Waits until this entry knows all changes of the list of targets up to now, as shown by a read of
/// the store that began after now; false if that takes too long.
///
/// Requests that wait at the same time share a read.
pub async fn confirm_list(core: &RelayCore) -> bool {
    let asked_at = boot_time();
    let mut evidence = core.evidence_changed.subscribe();
    core.check_wanted.notify_one();
    let confirming = evidence.wait_for(|evidence| evidence.is_since(asked_at));
    let result = actix_rt::time::timeout(CONFIRM_TIMEOUT, confirming).await;
    matches!(result, Ok(Ok(_)))
}
