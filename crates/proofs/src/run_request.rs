use {
    base::{CustomerId, PipelineId, RequestId, RequestPriority, SheetVersion},
    std::time::Duration,
};

/// A request as a caller sends it.
#[derive(Debug, Clone)]
pub struct RunRequest {
    /// Customer of the request.
    pub customer: CustomerId,
    /// Credential of the customer.
    pub credential: String,
    /// Pipeline to run.
    pub pipeline: PipelineId,
    /// Id of the request.
    pub request: RequestId,
    /// Input of the first stage.
    pub input: Vec<u8>,
    /// Time that remains until the deadline.
    pub remaining: Duration,
    /// How urgent it is.
    pub priority: RequestPriority,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// Ticket of a non-idempotent request.
    pub ticket: Option<String>,
    /// Latest sheet version that the caller has seen.
    pub sheet: Option<SheetVersion>,
    /// Proof of that version as an entry gave it; it is sent in place of the bare version.
    pub sheet_proof: Option<String>,
}

impl RunRequest {
    /// Idempotent request with an answer in one piece and five seconds to run, with the
    /// credential that a fleet plan gives its customers.
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
            sheet: None,
            sheet_proof: None,
        }
    }

    /// Asks for a streamed answer.
    pub fn streamed(mut self) -> Self {
        self.stream = true;
        self
    }

    /// Marks the request as non-idempotent under this ticket.
    pub fn once(mut self, ticket: impl Into<String>) -> Self {
        self.idempotent = false;
        self.ticket = Some(ticket.into());
        self
    }

    /// Sets the time that remains.
    pub fn within(mut self, remaining: Duration) -> Self {
        self.remaining = remaining;
        self
    }
}
