use {
    crate::{
        caller::RelayDraft,
        dialect::RelayRefusal,
        permit::{PermitAnswer, PermitSubject, ask_permit},
        shared::{RelayCore, part_name},
    },
    base::FailureReason,
    retry::{PartKey, PartVerdict},
    slog::info,
    std::time::{Duration, Instant},
};

/// Returns the refusal of a request that has a suspect part and may not try it now.
pub fn held_refusal(core: &RelayCore, draft: &RelayDraft) -> Option<RelayRefusal> {
    match core.parts.borrow().verdict(&draft.parts, Instant::now()) {
        PartVerdict::Held { part, retry_in } => Some(suspect_refusal(draft, part, retry_in)),
        PartVerdict::Clear | PartVerdict::Trial { .. } => None,
    }
}

/// Lets a request pass if no part of its prompt is suspect, or if it may try the suspect ones.
/// Returns true if it is a trial.
///
/// # Errors
///
/// Refuses the request if it must not be sent now.
pub async fn pass_part_gate(core: &RelayCore, draft: &RelayDraft) -> Result<bool, RelayRefusal> {
    let verdict = core.parts.borrow().verdict(&draft.parts, Instant::now());
    let part = match verdict {
        PartVerdict::Clear => return Ok(false),
        PartVerdict::Held { part, retry_in } => {
            return Err(suspect_refusal(draft, part, retry_in));
        }
        PartVerdict::Trial { parts } => parts[0],
    };
    let subject = PermitSubject::Trial {
        part,
        parts: draft.parts.clone(),
    };
    if let PermitAnswer::Denied { retry_in } = ask_permit(core, subject).await {
        return Err(suspect_refusal(draft, part, retry_in));
    }
    core.metrics.part_trials.inc();
    info!(core.log, "request tries a suspect prompt part";
        "request" => &draft.head.request_id, "part" => part_name(part));
    Ok(true)
}

fn suspect_refusal(draft: &RelayDraft, part: PartKey, retry_in: Duration) -> RelayRefusal {
    let prompt = draft.head.prompt.iter();
    let ids = prompt.map(|part| part.id.as_str());
    let id = ids.filter(|id| retry::part_keys([*id, ""]).contains(&part));
    let id: String = id.take(1).collect();
    let name = part_name(part);
    let detail = format!("targets died under part {id} of this prompt ({name})");
    RelayRefusal::not_run(FailureReason::CrashSuspect, detail).retry_after(retry_in)
}
