use {
    crate::{
        dialect::{CallerHead, RelayRefusal},
        memory::CallBody,
        shared::LimitedPlace,
    },
    base::FailureReason,
    piece::JobRank,
    plan::{FleetPlan, RouteRule, ServiceId},
    retry::{CrashFingerprint, PartKey, part_keys, request_key},
    route::{PrefixKey, VersionRule, id_hash, prefix_keys},
    std::{
        collections::BTreeSet,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Lowest priority of a request; 0 is the highest.
const LOWEST_PRIORITY: u8 = 9;

/// A caller's request with its route. The filters check it, then it is run.
pub struct RelayDraft {
    pub head: CallerHead,
    pub body: CallBody,
    /// Configuration that was in force when the request arrived.
    pub plan: Arc<FleetPlan>,
    /// Route of the request.
    pub rule: Arc<RouteRule>,
    /// Service whose targets run the request.
    pub service: ServiceId,
    /// Organisation that the caller's key belongs to; `None` if the request needs no key.
    pub organisation: Option<String>,
    /// Priority of the request, 0 being the highest.
    pub priority: u8,
    /// Keys of the prompt's prefixes, shortest first, each with the number of tokens in its last
    /// part.
    pub prefixes: Vec<(PrefixKey, u32)>,
    /// Parts of the prompt that it may share with other requests.
    pub parts: Vec<PartKey>,
    /// True if another entry without links to targets has handed the request over.
    pub is_hop: bool,
    /// Software versions at which the request may run: one, once the caller has a part of a stream.
    pub versions: VersionRule,
    /// Place in the line for targets that are all limited, until the request is sent; `None` if they
    /// are not.
    pub limited_place: Option<LimitedPlace>,
    /// Time at which the head of the request had arrived.
    pub arrived: Instant,
    /// Data centre in which the request is expected to run after its stages. It is chosen before
    /// the stages run; `None` until then.
    pub data_centre: Option<String>,
    /// Latest time at which the answer still meets the latency goal of the route.
    pub goal_at: Instant,
    /// Time by which the caller must have got the first event of a stream, or the whole answer if
    /// the route does not stream.
    pub first_event_deadline: Instant,
    /// Time by which the caller must have the whole answer.
    pub deadline: Instant,
}

impl RelayDraft {
    /// Creates the draft of a request whose route is known. `draw` is a random number from 0 to 1
    /// that chooses among the services of the route.
    ///
    /// # Errors
    ///
    /// Refuses the request if the route has no service.
    pub fn new(
        head: CallerHead,
        body: CallBody,
        plan: &Arc<FleetPlan>,
        rule: &Arc<RouteRule>,
        arrived: Instant,
        draw: f64,
    ) -> Result<Self, RelayRefusal> {
        let Some(service) = rule.pick_service(draw) else {
            let detail = format!("route {} has no service", rule.name);
            return Err(RelayRefusal::not_run(FailureReason::NoTarget, detail));
        };
        let timeout = head.timeout.unwrap_or(rule.timeout).min(rule.timeout);
        Ok(Self {
            service: service.to_string(),
            organisation: None,
            data_centre: None,
            priority: rule.priority.min(LOWEST_PRIORITY),
            prefixes: prefix_keys(&head.prompt),
            parts: part_keys(head.prompt.iter().map(|part| part.id.as_str())),
            is_hop: false,
            versions: VersionRule::Any,
            limited_place: None,
            arrived,
            goal_at: arrived + rule.latency_goal.min(timeout),
            first_event_deadline: arrived + rule.first_event_limit.unwrap_or(timeout).min(timeout),
            deadline: arrived + timeout,
            plan: Arc::clone(plan),
            rule: Arc::clone(rule),
            head,
            body,
        })
    }

    /// Returns a hash of the organisation, path and body, by which the request is recognised when it is
    /// repeated. Requests that have these in common share it.
    pub fn fingerprint(&self) -> CrashFingerprint {
        let organisation = self.organisation.as_deref().unwrap_or_default();
        retry::fingerprint_in_pieces(organisation, &self.head.path, self.body.pieces())
    }

    /// Returns the key of the fingerprint among the parts of prompts.
    pub fn request_key(&self) -> PartKey {
        request_key(&self.fingerprint())
    }

    /// Returns the time left until the deadline; zero once it has passed.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns the time left until the first event is due; zero once it is overdue.
    pub fn first_event_time_left(&self, now: Instant) -> Duration {
        self.first_event_deadline.saturating_duration_since(now)
    }

    /// Returns how urgent the request's stages are, given the urgencies that the configuration has:
    /// 0 goes first, and all have it where there are not several.
    pub fn urgency(&self, urgencies: &BTreeSet<u8>) -> u8 {
        match urgencies.is_empty() {
            true => 0,
            false => self.priority,
        }
    }

    /// Returns the rank of the request's stages, given the urgencies that the configuration has.
    pub fn job_rank(&self, urgencies: &BTreeSet<u8>) -> JobRank {
        let customer = self.organisation.as_deref().map(id_hash);
        JobRank {
            urgency: self.urgency(urgencies),
            customer: customer.unwrap_or_default(),
        }
    }

    /// Returns true if the request has stages that run before it.
    pub fn has_stages(&self) -> bool {
        !self.rule.stages.is_empty()
    }
}
