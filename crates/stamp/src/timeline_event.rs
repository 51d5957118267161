use {
    crate::{EventKind, HybridTime},
    base::{AttemptNumber, CustomerId, HostId, RequestId, SheetVersion, StageIndex},
    serde::{Deserialize, Serialize},
};

/// Event on the timeline of one process.
///
/// ```
/// use stamp::{EventKind, HybridTime, TimelineEvent};
///
/// let event = TimelineEvent::new(HybridTime::new(5, 0), "h1", EventKind::CallSent)
///     .with_customer("elevator")
///     .with_request("r1")
///     .with_stage(0)
///     .with_attempt(1)
///     .with_detail("t4");
/// assert_eq!(event.request.as_deref(), Some("r1"));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineEvent {
    /// When it happened.
    pub at: HybridTime,
    /// Process in which it happened; an entry goes by the name of its host.
    pub process: String,
    /// What happened.
    pub kind: EventKind,
    /// Id of the request that it concerns, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// Customer that it concerns, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerId>,
    /// Position of the stage that it concerns, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stage: Option<StageIndex>,
    /// Attempt that it concerns, if any: the number of the call within the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub attempt: Option<AttemptNumber>,
    /// Host of the member that it concerns, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub member: Option<HostId>,
    /// Sheet version that it concerns, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sheet_version: Option<SheetVersion>,
    /// Further details for a human reader; may be empty.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

impl TimelineEvent {
    /// Creates an event with only its time, process and kind.
    pub fn new(at: HybridTime, process: impl Into<String>, kind: EventKind) -> Self {
        Self {
            at,
            process: process.into(),
            kind,
            request: None,
            customer: None,
            stage: None,
            attempt: None,
            member: None,
            sheet_version: None,
            detail: String::new(),
        }
    }

    /// Sets the request that the event concerns.
    pub fn with_request(mut self, request: impl Into<RequestId>) -> Self {
        self.request = Some(request.into());
        self
    }

    /// Sets the customer that the event concerns.
    pub fn with_customer(mut self, customer: impl Into<CustomerId>) -> Self {
        self.customer = Some(customer.into());
        self
    }

    /// Sets the stage that the event concerns.
    pub fn with_stage(mut self, stage: StageIndex) -> Self {
        self.stage = Some(stage);
        self
    }

    /// Sets the attempt that the event concerns: the number of the call within the request.
    pub fn with_attempt(mut self, attempt: AttemptNumber) -> Self {
        self.attempt = Some(attempt);
        self
    }

    /// Sets the host of the member that the event concerns.
    pub fn with_member(mut self, member: impl Into<HostId>) -> Self {
        self.member = Some(member.into());
        self
    }

    /// Sets the sheet version that the event concerns.
    pub fn with_sheet_version(mut self, version: SheetVersion) -> Self {
        self.sheet_version = Some(version);
        self
    }

    /// Sets the details for a human reader.
    pub fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }
}
