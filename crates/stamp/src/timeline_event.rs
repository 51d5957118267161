use {
    crate::{EventKind, HybridTime},
    base::{AttemptNumber, CustomerId, HostId, RequestId, SheetVersion, StageIndex},
    serde::{Deserialize, Serialize},
};

/// One event on the time line of one process.
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
    /// Process in which it happened.
    pub process: String,
    /// What happened.
    pub kind: EventKind,
    /// Request that it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// Customer that it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerId>,
    /// Stage that it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stage: Option<StageIndex>,
    /// Attempt that it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub attempt: Option<AttemptNumber>,
    /// Member that it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub member: Option<HostId>,
    /// Sheet version that it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sheet_version: Option<SheetVersion>,
    /// Further words for a person.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

impl TimelineEvent {
    /// Event that says no more than what happened, where and when.
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

    /// Names the request.
    pub fn with_request(mut self, request: impl Into<RequestId>) -> Self {
        self.request = Some(request.into());
        self
    }

    /// Names the customer.
    pub fn with_customer(mut self, customer: impl Into<CustomerId>) -> Self {
        self.customer = Some(customer.into());
        self
    }

    /// Names the stage.
    pub fn with_stage(mut self, stage: StageIndex) -> Self {
        self.stage = Some(stage);
        self
    }

    /// Names the attempt.
    pub fn with_attempt(mut self, attempt: AttemptNumber) -> Self {
        self.attempt = Some(attempt);
        self
    }

    /// Names the member.
    pub fn with_member(mut self, member: impl Into<HostId>) -> Self {
        self.member = Some(member.into());
        self
    }

    /// Names the sheet version.
    pub fn with_sheet_version(mut self, version: SheetVersion) -> Self {
        self.sheet_version = Some(version);
        self
    }

    /// Adds words for a person.
    pub fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }
}
