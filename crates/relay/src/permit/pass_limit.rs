use {
    crate::{
        permit::{PermitAnswer, PermitSubject, ask_permit},
        shared::RelayCore,
    },
    slog::debug,
    std::time::Instant,
};

/// Asks for a call to the target if it has named a limit. Returns false if there is none left now;
/// the target then gets no calls of this entry for a while.
pub async fn pass_limit(core: &RelayCore, target: &str) -> bool {
    let Some(notice) = core.target_limit(target) else {
        return true;
    };
    match ask_permit(core, PermitSubject::Call { notice }).await {
        PermitAnswer::Granted => true,
        PermitAnswer::Denied { retry_in } => {
            core.metrics.limited_calls.inc();
            debug!(core.log, "call turned away by a limit"; "target" => target,
                "retry_ms" => retry_in.as_millis() as u64);
            core.hold_target(target, Some(Instant::now() + retry_in));
            false
        }
    }
}
