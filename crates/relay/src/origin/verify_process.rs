use {
    crate::{shared::RelayCore, target::CheckOutcome},
    route::ServicePick,
    slog::info,
    std::time::Duration,
};

/// Time within which a target must tell when its process started.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Returns true if the process that answers at a target's address is the one that the list of targets
/// names, so that the listed version is the one that runs there. The list may be behind a process that
/// came back under its id and address with other software.
///
/// A target that does not state when it started is believed to be the listed one; an answer that
/// cannot be read shows nothing.
pub async fn verify_process(core: &RelayCore, pick: &ServicePick) -> bool {
    let call = core.dialects.target.write_check();
    let answering = core.connections.check(pick.address, call, ANSWER_TIMEOUT);
    let CheckOutcome::Answered(body) = answering.await else {
        return false;
    };
    let stated = match core.dialects.target.read_start(&body) {
        Ok(stated) => stated,
        Err(fault) => {
            info!(core.log, "check of a target's process not readable"; "target" => &pick.target,
                "reason" => %fault);
            return false;
        }
    };
    let listed = core.started_ms(&pick.target);
    let is_listed = stated.is_none_or(|stated| stated == listed);
    if is_listed {
        let mut pools = core.pools.borrow_mut();
        let pools = pools.values_mut();
        pools.for_each(|pool| pool.confirm_process(&pick.target, listed));
    } else {
        info!(core.log, "target is another process than the list says"; "target" => &pick.target,
            "listed" => listed, "stated" => stated);
    }
    is_listed
}
