use {
    crate::{
        permit::PermitSubject,
        shared::{RelayCore, part_name},
        stage::takes_jobs,
    },
    retry::PartVerdict,
    slog::info,
    std::time::Instant,
};

/// Decides on a question for a permit. An entry that does not own the subject grants none.
pub fn grant_permit(core: &RelayCore, subject: &PermitSubject, now: Instant) -> bool {
    if !takes_jobs(core, &subject.owner_key(), now) {
        return false;
    }
    match subject {
        PermitSubject::Trial { parts, .. } => {
            // The owner may know of a crash or an answer that the asking entry has not heard of.
            let PartVerdict::Trial { parts: suspects } = core.parts.borrow().verdict(parts, now)
            else {
                return false;
            };
            let is_granted = core.trials.borrow_mut().try_grant(&suspects, now);
            if is_granted {
                let names: Vec<String> = suspects.into_iter().map(part_name).collect();
                info!(core.log, "trial of prompt parts granted"; "parts" => names.join(","));
            }
            is_granted
        }
    }
}
