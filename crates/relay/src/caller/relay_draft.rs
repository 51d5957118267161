use {
    crate::dialect::{CallerHead, RelayRefusal},
    base::FailureReason,
    bytes::Bytes,
    plan::{FleetPlan, RouteRule, ServiceId},
    retry::CrashFingerprint,
    route::{PrefixKey, prefix_keys},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Rank of a request whose organisation has none, where the route has none either.
const LAST_PRIORITY: u8 = 9;

/// A request on its way through the filters; no target has seen it.
pub struct RelayDraft {
    pub head: CallerHead,
    pub body: Bytes,
    pub plan: Arc<FleetPlan>,
    pub rule: Arc<RouteRule>,
    pub service: ServiceId,
    /// Organisation that the key belongs to.
    pub organisation: Option<String>,
    pub priority: u8,
    pub prefixes: Vec<(PrefixKey, u32)>,
    pub arrived: Instant,
    /// Data centre of the target that should run it, if the choice is made early.
    pub data_centre: Option<String>,
    /// Time until which an answer is of full use.
    pub latency_goal_at: Instant,
    /// Time by which the caller must have heard something.
    pub first_event_deadline: Instant,
    /// Time at which the caller must have its final answer.
    pub deadline: Instant,
}

impl RelayDraft {
    /// Draft of a request whose route is known.
    pub fn new(
        head: CallerHead,
        body: Bytes,
        plan: &Arc<FleetPlan>,
        rule: &Arc<RouteRule>,
        arrived: Instant,
        draw: f64,
    ) -> Result<Self, RelayRefusal> {
        let Some(service) = rule.pick_service(draw) else {
            let detail = format!("route {} names no service", rule.name);
            return Err(RelayRefusal::not_run(FailureReason::NoTarget, detail));
        };
        let timeout = head.timeout.unwrap_or(rule.timeout).min(rule.timeout);
        Ok(Self {
            service: service.to_string(),
            organisation: None,
            data_centre: None,
            priority: rule.priority.min(LAST_PRIORITY),
            prefixes: prefix_keys(&head.prompt),
            arrived,
            latency_goal_at: arrived + rule.latency_goal.min(timeout),
            first_event_deadline: arrived + rule.first_event_limit.unwrap_or(timeout).min(timeout),
            deadline: arrived + timeout,
            plan: Arc::clone(plan),
            rule: Arc::clone(rule),
            head,
            body,
        })
    }

    /// Identity of what the caller sent, for the record of crashes.
    pub fn fingerprint(&self) -> CrashFingerprint {
        let caller = self.organisation.as_deref().unwrap_or_default();
        retry::fingerprint(caller, &self.head.path, &self.body)
    }

    /// Time that is left.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Time that is left until the caller must have heard something.
    pub fn first_event_time_left(&self, now: Instant) -> Duration {
        self.first_event_deadline.saturating_duration_since(now)
    }

    /// True if the request needs pieces of stages.
    pub fn has_stages(&self) -> bool {
        !self.rule.stages.is_empty()
    }
}
