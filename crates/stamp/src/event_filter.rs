use {
    crate::TimelineEvent,
    base::{CustomerId, RequestId},
    serde::{Deserialize, Serialize},
};

/// Selection of events that an operator asks for; a field that is `None` matches every event.
///
/// ```
/// use stamp::{EventFilter, EventKind, HybridTime, TimelineEvent};
///
/// let event = TimelineEvent::new(HybridTime::default(), "h1", EventKind::Drain);
/// let filter = EventFilter { customer: Some(String::from("dairy")), ..Default::default() };
/// assert!(!filter.matches(&event));
/// assert!(filter.matches(&event.with_customer("dairy")));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EventFilter {
    /// Only events of this request.
    pub request: Option<RequestId>,
    /// Only events of this customer.
    pub customer: Option<CustomerId>,
}

impl EventFilter {
    /// Returns true if the event matches both fields.
    pub fn matches(&self, event: &TimelineEvent) -> bool {
        let request = self.request.is_none() || self.request == event.request;
        let customer = self.customer.is_none() || self.customer == event.customer;
        request && customer
    }
}
