use {
    crate::{
        caller::RelayDraft,
        dialect::RelayRefusal,
        permit::{PermitAnswer, PermitSubject, ask_permit},
        shared::{RelayCore, part_name},
        stage::input_keys,
    },
    base::FailureReason,
    retry::{PartKey, PartVerdict},
    slog::info,
    std::time::{Duration, Instant},
};

/// Returns the refusal of a request that is suspect, or has a suspect part, and may not be tried now.
pub fn held_refusal(core: &RelayCore, draft: &RelayDraft) -> Option<RelayRefusal> {
    let accusable = || [accusable_parts(draft), input_keys(draft)].concat();
    match verdict(core, accusable) {
        PartVerdict::Held { part, retry_in } => Some(suspect_refusal(draft, part, retry_in)),
        PartVerdict::Clear | PartVerdict::Trial { .. } => None,
    }
}

/// Lets a request pass to a target if neither it nor a part of its prompt is suspect, or if it may try
/// what is. Returns true if it is a trial.
///
/// # Errors
///
/// Refuses the request if it must not be sent now.
pub async fn pass_part_gate(core: &RelayCore, draft: &RelayDraft) -> Result<bool, RelayRefusal> {
    pass_gate(core, draft, || accusable_parts(draft)).await
}

/// Lets the stages of a request begin if what the caller gave for them is not suspect, or may be tried.
///
/// # Errors
///
/// Refuses the request if its stages must not run now.
pub async fn pass_stage_gate(core: &RelayCore, draft: &RelayDraft) -> Result<(), RelayRefusal> {
    pass_gate(core, draft, || input_keys(draft)).await.map(drop)
}

async fn pass_gate(
    core: &RelayCore,
    draft: &RelayDraft,
    accusable: impl Fn() -> Vec<PartKey>,
) -> Result<bool, RelayRefusal> {
    let part = match verdict(core, &accusable) {
        PartVerdict::Clear => return Ok(false),
        PartVerdict::Held { part, retry_in } => {
            return Err(suspect_refusal(draft, part, retry_in));
        }
        PartVerdict::Trial { parts } => parts[0],
    };
    let parts = accusable();
    let subject = PermitSubject::Trial { part, parts };
    if let PermitAnswer::Denied { retry_in } = ask_permit(core, subject).await {
        return Err(suspect_refusal(draft, part, retry_in));
    }
    core.metrics.part_trials.inc();
    info!(core.log, "request tries a suspect prompt part";
        "request" => &draft.head.request_id, "part" => part_name(part));
    Ok(true)
}

/// Returns whether a request that has these parts may be sent. It is clear while nothing is suspect: its
/// key, which takes a pass over its body, is not needed then.
fn verdict(core: &RelayCore, accusable: impl Fn() -> Vec<PartKey>) -> PartVerdict {
    let parts = core.parts.borrow();
    match parts.has_suspects() {
        true => parts.verdict(&accusable(), Instant::now()),
        false => PartVerdict::Clear,
    }
}

/// Returns what a crash under the request can be blamed on: the parts of its prompt that others share,
/// and the request itself.
fn accusable_parts(draft: &RelayDraft) -> Vec<PartKey> {
    let mut parts = draft.parts.clone();
    parts.push(draft.request_key());
    parts
}

fn suspect_refusal(draft: &RelayDraft, part: PartKey, retry_in: Duration) -> RelayRefusal {
    if part == draft.request_key() || input_keys(draft).contains(&part) {
        let detail = "targets died while they ran this request or its stages";
        return RelayRefusal::not_run(FailureReason::CrashSuspect, detail).retry_after(retry_in);
    }
    let prompt = draft.head.prompt.iter();
    let ids = prompt.map(|part| part.id.as_str());
    let id = ids.filter(|id| retry::part_keys([*id, ""]).contains(&part));
    let id: String = id.take(1).collect();
    let name = part_name(part);
    let detail = format!("targets died under part {id} of this prompt ({name})");
    RelayRefusal::not_run(FailureReason::CrashSuspect, detail).retry_after(retry_in)
}
