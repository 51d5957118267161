use {
    crate::data::{EntryCore, RequestHead, UnsentTicketGuard, sheet_proof::SeenSheet},
    base::{FailureReason, FailureReport, PipelineId, RunClaim, Unsent},
    bytes::Bytes,
    pipe::RunPlan,
    retry::CrashFingerprint,
    sheet::FleetSheet,
    std::{sync::Arc, time::Instant},
};

/// A request while the filters check it; it was not sent to any target.
pub struct RequestDraft {
    pub head: RequestHead,
    pub pipeline: PipelineId,
    pub body: Bytes,
    pub arrived_at: Instant,
    pub deadline: Instant,
    pub sheet: Arc<FleetSheet>,
    pub plan: RunPlan,
    /// Weight of the customer relative to the others.
    pub weight: u32,
    /// Creates the failure report; its type states that no target can have run the request.
    pub claim: RunClaim<Unsent>,
    /// Ticket that was spent for the request, set by the ticket filter; stays `None` for an
    /// idempotent request.
    pub spent_ticket: Option<UnsentTicketGuard>,
}

impl RequestDraft {
    /// Returns the latest sheet version that the caller has seen; `None` if it sent none or
    /// one with a wrong proof.
    pub fn seen_sheet(&self, core: &EntryCore) -> Option<SeenSheet> {
        core.sheet_proof
            .verify(self.head.seen_sheet_text.as_deref()?)
    }

    /// Returns the fingerprint by which the crash tracker recognises the request.
    pub fn fingerprint(&self) -> CrashFingerprint {
        retry::fingerprint(&self.head.customer, &self.pipeline, &self.body)
    }

    /// Refuses the request as not run and makes its ticket valid again.
    pub fn refuse(self, reason: FailureReason, detail: impl Into<String>) -> FailureReport {
        let report = self.claim.refuse(reason, detail);
        if let Some(guard) = self.spent_ticket {
            guard.restore(&report);
        }
        report
    }
}
