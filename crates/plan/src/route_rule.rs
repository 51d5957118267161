use {crate::ServiceId, std::time::Duration};

/// How often a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatRule {
    /// It may run more than once.
    Idempotent,
    /// A stream that another target may continue after the last whole event.
    Resumable,
    /// It may run at most once.
    Once,
}

impl RepeatRule {
    /// True if a second target may run the request after a first one may have.
    pub fn may_repeat(self) -> bool {
        self != Self::Once
    }
}

/// Work that other services do before the request itself can run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StageRule {
    /// Service whose targets do it.
    pub service: ServiceId,
    /// Stages whose results it needs, by their position.
    pub after: Vec<u16>,
    /// Size of one result, in bytes, roughly.
    pub result_bytes: u64,
}

/// What holds for requests to one host and path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRule {
    /// Name for logs.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Beginning of the path, with a slash at both ends.
    pub prefix: String,
    /// How often one request may run.
    pub repeat: RepeatRule,
    /// True if the answer is a stream of events.
    pub streaming: bool,
    /// Longest time for which a caller may be kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is of full use.
    pub latency_goal: Duration,
    /// Time after which a caller that has heard nothing leaves, if it is known.
    pub first_event_limit: Option<Duration>,
    /// Rank of the requests, 0 first.
    pub priority: u8,
    /// Services that share the requests, with their weights.
    pub split: Vec<(ServiceId, u32)>,
    /// Targets that one request may be sent to.
    pub max_targets: u32,
    /// Stages before the request itself.
    pub stages: Vec<StageRule>,
    /// True if no key is needed.
    pub anonymous: bool,
}

impl RouteRule {
    /// Service for a draw that is uniform in 0..1.
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
        let total: u32 = self.split.iter().map(|(_, weight)| weight).sum();
        let mut left = draw * f64::from(total);
        for (service, weight) in &self.split {
            left -= f64::from(*weight);
            if left < 0.0 {
                return Some(service);
            }
        }
        self.split.last().map(|(service, _)| service.as_str())
    }
}
