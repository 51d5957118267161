use {
    crate::{shared::RelayCore, target::CheckOutcome},
    plan::SoftwareVersion,
    slog::info,
    std::{net::SocketAddr, time::Duration},
};

/// Time within which a target must tell when its process started.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// A process that a target's id and address belong to by the list of targets.
#[derive(Debug, Clone)]
pub struct ListedProcess {
    pub target: String,
    pub address: SocketAddr,
    /// Start of the process in milliseconds since the Unix epoch; 0 if unknown.
    pub started_ms: u64,
    /// Version of its software; `None` if unknown.
    pub version: Option<SoftwareVersion>,
}

/// Asks the process that answers at a target's address whether it is the listed one, and records it
/// if it is. The list may be behind a process that came back under its id and address with other
/// software.
///
/// A target that does not state when it started is believed to be the listed one; an answer that
/// cannot be read shows nothing.
pub async fn verify_process(core: &RelayCore, listed: &ListedProcess) {
    let call = core.dialects.target.write_check();
    core.metrics.process_checks.inc();
    let answering = core.connections.check(listed.address, call, ANSWER_TIMEOUT);
    let CheckOutcome::Answered(answer) = answering.await else {
        return;
    };
    let stated = match core.dialects.target.read_start(&answer.body) {
        Ok(stated) => stated,
        Err(fault) => {
            info!(core.log, "check of a target's process not readable"; "target" => &listed.target,
                "reason" => %fault);
            return;
        }
    };
    if stated.is_none_or(|stated| stated == listed.started_ms) {
        let mut pools = core.pools.borrow_mut();
        for pool in pools.values_mut() {
            pool.confirm_process(&listed.target, listed.started_ms, answer.opened_at);
        }
    } else {
        info!(core.log, "target is another process than the list says"; "target" => &listed.target,
            "listed" => listed.started_ms, "stated" => stated);
    }
}
