use {
    crate::{
        permit::{PermitAnswer, PermitSubject},
        shared::{RelayCore, part_name},
        stage::takes_jobs,
    },
    limit::LimitNotice,
    retry::{PartKey, PartVerdict},
    slog::info,
    std::time::{Duration, Instant},
};

/// Time after which to ask again while another request tries the same part.
const TRIAL_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time after which to ask again for a subject whose owner is not known.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Decides on a question for a permit. An entry that does not own the subject grants none, nor does
/// a process that has just started: it may not have heard of the owner.
pub fn grant_permit(core: &RelayCore, subject: &PermitSubject, now: Instant) -> PermitAnswer {
    let is_settled = core.hosts.borrow().own_record().settled;
    if !is_settled || !takes_jobs(core, &subject.owner_key(), now) {
        return owner_unknown();
    }
    match subject {
        PermitSubject::Trial { parts, .. } => grant_trial(core, parts, now),
        PermitSubject::Call { notice } => grant_call(core, notice, now),
        PermitSubject::Cold { target, interval } => {
            // The owner may know a lower rate, or that the target has become cold again.
            let known = core.state.borrow().cold_interval(target, now);
            let interval = known.unwrap_or_default().max(*interval);
            take_call(core, target, interval, now)
        }
        PermitSubject::Room { target, slots } => {
            let taken = core.room_desk.borrow_mut().try_take(target, *slots, now);
            taken.map_or_else(
                |retry_in| PermitAnswer::Denied { retry_in },
                |()| PermitAnswer::Granted,
            )
        }
    }
}

/// Returns the answer that stands for that of an owner who cannot be asked.
pub fn owner_unknown() -> PermitAnswer {
    PermitAnswer::Denied {
        retry_in: OWNER_RETRY_DELAY,
    }
}

fn grant_trial(core: &RelayCore, parts: &[PartKey], now: Instant) -> PermitAnswer {
    let denied = PermitAnswer::Denied {
        retry_in: TRIAL_RETRY_DELAY,
    };
    // The owner may know of a crash or an answer that the asking entry has not heard of.
    let verdict = core.parts.borrow().verdict(parts, now);
    let PartVerdict::Trial { parts: suspects } = verdict else {
        return denied;
    };
    if !core.trials.borrow_mut().try_grant(&suspects, now) {
        return denied;
    }
    let names: Vec<String> = suspects.into_iter().map(part_name).collect();
    info!(core.log, "trial of prompt parts granted"; "parts" => names.join(","));
    PermitAnswer::Granted
}

fn grant_call(core: &RelayCore, notice: &LimitNotice, now: Instant) -> PermitAnswer {
    core.merge_limits(std::slice::from_ref(notice));
    let limits = core.limits.borrow();
    let Some(interval) = limits.interval(&notice.target, notice.started_ms) else {
        return PermitAnswer::Granted;
    };
    take_call(core, &notice.target, interval, now)
}

/// Takes one of the calls to a target that takes one in each interval.
fn take_call(core: &RelayCore, target: &str, interval: Duration, now: Instant) -> PermitAnswer {
    let mut desk = core.limit_desk.borrow_mut();
    if !desk.has_account(target) {
        info!(core.log, "calls to a limited target given out here"; "target" => target,
            "interval_ms" => interval.as_millis() as u64);
    }
    match desk.try_take(target, interval, now) {
        Ok(()) => PermitAnswer::Granted,
        Err(retry_in) => PermitAnswer::Denied { retry_in },
    }
}
