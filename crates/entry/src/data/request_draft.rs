use {
    crate::data::{EntryCore, HeldSpend, RequestHead, sheet_proof::SeenSheet},
    base::{FailureReason, FailureReport, PipelineId, RunClaim, Unsent},
    bytes::Bytes,
    pipe::RunPlan,
    retry::CrashFingerprint,
    sheet::FleetSheet,
    std::{sync::Arc, time::Instant},
};

/// A request on its way through the filters; no target has seen it.
pub struct RequestDraft {
    pub head: RequestHead,
    pub pipeline: PipelineId,
    pub body: Bytes,
    pub arrived: Instant,
    pub deadline: Instant,
    pub sheet: Arc<FleetSheet>,
    pub plan: RunPlan,
    pub weight: u32,
    pub claim: RunClaim<Unsent>,
    pub spend: Option<HeldSpend>,
}

impl RequestDraft {
    /// Sheet that the caller has seen, if it says so.
    pub fn seen_sheet(&self, core: &EntryCore) -> Option<SeenSheet> {
        core.proof.read(self.head.sheet_seen.as_deref()?)
    }

    /// Identity of what the caller sent, for the record of crashes.
    pub fn fingerprint(&self) -> CrashFingerprint {
        retry::fingerprint(&self.head.customer, &self.pipeline, &self.body)
    }

    /// Ends the request as not run, and gives its ticket back.
    pub fn refuse(self, reason: FailureReason, detail: impl Into<String>) -> FailureReport {
        let report = self.claim.refuse(reason, detail);
        if let Some(spend) = self.spend {
            spend.release(&report);
        }
        report
    }
}
