use {
    base::{CustomerId, PipelineId, RequestId, RequestPriority, SheetVersion},
    std::time::Duration,
};

/// A request that a caller sends to an entry.
#[derive(Debug, Clone)]
pub struct RunRequest {
    /// Customer in whose name the request is sent.
    pub customer: CustomerId,
    /// Credential of the customer.
    pub credential: String,
    /// Name of the pipeline to run.
    pub pipeline: PipelineId,
    /// Id of the request, which the caller chooses.
    pub request: RequestId,
    /// Input of the first stage.
    pub input: Vec<u8>,
    /// Time that remains until the deadline.
    pub remaining: Duration,
    /// Priority of the request.
    pub priority: RequestPriority,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether to stream the answer.
    pub stream: bool,
    /// Ticket of a non-idempotent request; `None` sends no ticket.
    pub ticket: Option<String>,
    /// Latest sheet version that the caller has seen; `None` if it has seen none.
    pub seen_version: Option<SheetVersion>,
    /// Proof of the seen version as an entry returned it; sent instead of the bare version if set.
    pub sheet_proof: Option<String>,
}

impl RunRequest {
    /// Returns an idempotent request for an unstreamed answer, with five seconds until its deadline
    /// and the credential that [`FleetPlan`](crate::FleetPlan) gives the customer.
    ///
    /// ```
    /// use proofs::{FleetPlan, RunRequest};
    ///
    /// let request = RunRequest::new("farm", "read", "r1", b"hay").streamed();
    /// assert!(request.stream && request.idempotent);
    /// assert_eq!(request.credential, FleetPlan::credential("farm"));
    /// ```
    pub fn new(
        customer: impl Into<String>,
        pipeline: impl Into<String>,
        request: impl Into<String>,
        input: &[u8],
    ) -> Self {
        let customer = customer.into();
        Self {
            credential: crate::FleetPlan::credential(&customer),
            customer,
            pipeline: pipeline.into(),
            request: request.into(),
            input: input.to_vec(),
            remaining: Duration::from_secs(5),
            priority: RequestPriority::Normal,
            idempotent: true,
            stream: false,
            ticket: None,
            seen_version: None,
            sheet_proof: None,
        }
    }

    /// Sets that the answer is streamed.
    pub fn streamed(mut self) -> Self {
        self.stream = true;
        self
    }

    /// Marks the request as non-idempotent and sets its ticket.
    pub fn with_ticket(mut self, ticket: impl Into<String>) -> Self {
        self.idempotent = false;
        self.ticket = Some(ticket.into());
        self
    }

    /// Sets the time that remains until the deadline.
    pub fn within(mut self, remaining: Duration) -> Self {
        self.remaining = remaining;
        self
    }
}
