use {
    crate::{
        data::{EntryCore, RequestHead, caller_server::report_seen_sheet},
        filters::has_valid_credential,
    },
    base::FailureReason,
};

/// Why a request is refused by its head.
pub(super) struct HeadRefusal {
    pub reason: FailureReason,
    pub detail: String,
}

/// Checks what the head of a request tells, so that no body of a request that would be refused takes
/// room. It is checked again once the body has arrived: the sheet in force may have changed by then.
///
/// # Errors
///
/// Refuses a request while no sheet is in force, or for a pipeline or with a credential that the sheet
/// does not have.
pub(super) fn check_head(
    core: &EntryCore,
    head: &RequestHead,
    pipeline: &str,
) -> Result<(), HeadRefusal> {
    let refusal = |reason, detail: &str| HeadRefusal {
        reason,
        detail: detail.to_string(),
    };
    let Some(sheet) = core.fleet().sheet.clone() else {
        report_seen_sheet(core, head);
        let detail = "no sheet is in force yet";
        return Err(refusal(FailureReason::NoSheet, detail));
    };
    if !sheet.pipelines.contains_key(pipeline) {
        let detail = "the sheet has no such pipeline";
        return Err(refusal(FailureReason::UnknownPipeline, detail));
    }
    if !has_valid_credential(&sheet, &head.customer, &head.credential) {
        core.metrics.count("refused.credential", 1);
        let detail = "customer unknown or credential wrong";
        return Err(refusal(FailureReason::BadCredential, detail));
    }
    Ok(())
}
