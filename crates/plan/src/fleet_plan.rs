use {
    crate::{KeyRegistry, PlanVersion, RouteRule, ServiceId, ServiceSpec},
    serde::{Deserialize, Serialize},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
    },
};

/// One complete version of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetPlan {
    /// Version of the configuration; 0 before the first one was read.
    pub version: PlanVersion,
    /// API keys of the organisations.
    pub keys: KeyRegistry,
    /// Services by name.
    pub services: BTreeMap<ServiceId, ServiceSpec>,
    routes: HashMap<String, Vec<Arc<RouteRule>>>,
}

impl FleetPlan {
    /// Creates a plan; the rules of each host are sorted by length of prefix, longest first.
    pub fn new(
        version: PlanVersion,
        keys: KeyRegistry,
        services: impl IntoIterator<Item = ServiceSpec>,
        rules: impl IntoIterator<Item = RouteRule>,
    ) -> Self {
        let mut routes: HashMap<String, Vec<Arc<RouteRule>>> = HashMap::new();
        for rule in rules {
            routes
                .entry(rule.host.to_ascii_lowercase())
                .or_default()
                .push(Arc::new(rule));
        }
        for rules in routes.values_mut() {
            rules.sort_by_key(|rule| Reverse(rule.prefix.len()));
        }
        let services = services.into_iter();
        Self {
            version,
            keys,
            services: services.map(|spec| (spec.name.clone(), spec)).collect(),
            routes,
        }
    }

    /// Returns the priorities that requests with stages can have; none if they all have the same, so
    /// that no request goes before another by its priority.
    pub fn urgencies(&self) -> BTreeSet<u8> {
        let rules = self.routes.values().flatten();
        let staged = rules.filter(|rule| !rule.stages.is_empty());
        let urgencies = staged.map(|rule| rule.priority);
        let urgencies: BTreeSet<u8> = urgencies.chain(self.keys.priorities()).collect();
        match urgencies.len() {
            0 | 1 => BTreeSet::new(),
            _ => urgencies,
        }
    }

    /// Returns the rule of the host with the longest prefix of the path, or `None` if no rule
    /// matches. Letter case of the host is ignored.
    ///
    /// ```
    /// let plan = plan::FleetPlan::default();
    /// assert!(plan.route("a.example", "/x/").is_none());
    /// ```
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let rules = self.routes.get(&host.to_ascii_lowercase())?;
        rules.iter().find(|rule| path.starts_with(&rule.prefix))
    }
}
