use {
    crate::ServiceId,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RepeatRule {
    /// The request may run more than once.
    Idempotent,
    /// The answer is a stream that another target may resume after the last complete event.
    Resumable,
    /// The request may run at most once.
    Once,
}

impl RepeatRule {
    /// Returns true if a second target may run the request after the first one may have run it.
    pub fn may_repeat(self) -> bool {
        self != Self::Once
    }
}

/// Preliminary stage: work of another service that must be done before the request can run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageRule {
    /// Service whose targets run the stage.
    pub service: ServiceId,
    /// Positions in [`RouteRule::stages`] of the stages whose results this one needs.
    pub after: Vec<u16>,
    /// Approximate size of one result, in bytes.
    pub result_bytes: u64,
}

/// Rule for the requests to one HTTP host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Name used in logs.
    pub name: String,
    /// Host name in the caller's request.
    pub host: String,
    /// Prefix of the path, with a slash at both ends.
    pub prefix: String,
    /// Whether one request may run more than once.
    pub repeat: RepeatRule,
    /// True if the answer is a stream of events.
    pub streaming: bool,
    /// Time within which the caller must have its answer.
    pub timeout: Duration,
    /// Time within which an answer has its full value; the time-out unless the configuration sets
    /// it.
    pub latency_goal: Duration,
    /// Time after which a caller that has received no event gives up; `None` unless the answer is
    /// a stream.
    pub first_event_limit: Option<Duration>,
    /// Priority of the requests; 0 goes first.
    pub priority: u8,
    /// Services that the requests are distributed to, with their weights.
    pub split: Vec<(ServiceId, u32)>,
    /// Largest number of targets that one request may be sent to.
    pub max_targets: u32,
    /// Stages that run before the request itself.
    pub stages: Vec<StageRule>,
    /// True if the request needs no API key.
    pub anonymous: bool,
}

impl RouteRule {
    /// Picks a service by weight; `draw` is a random number, uniform in 0..1. Returns `None` if the
    /// rule has no services with a weight.
    ///
    /// ```
    /// # use {plan::{RepeatRule, RouteRule}, std::time::Duration};
    /// # let mut rule = RouteRule { name: String::new(), host: String::new(),
    /// #   prefix: String::from("/"), repeat: RepeatRule::Once, streaming: false,
    /// #   timeout: Duration::ZERO, latency_goal: Duration::ZERO,
    /// #   first_event_limit: None, priority: 0, split: Vec::new(),
    /// #   max_targets: 1, stages: Vec::new(), anonymous: true };
    /// rule.split = vec![(String::from("a"), 90), (String::from("b"), 10)];
    /// assert_eq!(rule.pick_service(0.5), Some("a"));
    /// assert_eq!(rule.pick_service(0.95), Some("b"));
    /// ```
    pub fn pick_service(&self, draw: f64) -> Option<&str> {
        let weights = self.split.iter().map(|(_, weight)| f64::from(*weight));
        let mut remaining_weight = draw * weights.sum::<f64>();
        for (service, weight) in &self.split {
            remaining_weight -= f64::from(*weight);
            if remaining_weight < 0.0 {
                return Some(service);
            }
        }
        // Rounding may leave a rest; a service of weight 0 gets nothing all the same.
        let mut weighted = self.split.iter().rev().filter(|(_, weight)| *weight > 0);
        weighted.next().map(|(service, _)| service.as_str())
    }
}
