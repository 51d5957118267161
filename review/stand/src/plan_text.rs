//! The operator's configuration as text.

/// A route, with the fields that the cases vary.
pub struct RouteText<'a> {
    pub prefix: &'a str,
    pub route_type: &'a str,
    pub service: &'a str,
    pub timeout_ms: u32,
    pub anonymous: bool,
    /// Stages as JSON.
    pub stages: &'a str,
}

impl RouteText<'_> {
    fn json(&self) -> String {
        let Self {
            prefix,
            route_type,
            service,
            timeout_ms,
            anonymous,
            stages,
        } = self;
        let is_streaming = *route_type == "streaming";
        format!(
            "{{\"name\":\"r-{}\",\"host\":\"a.example\",\"prefix\":\"{prefix}\",\
             \"routeType\":\"{route_type}\",\"timeoutMs\":{timeout_ms},\"latencyGoalMs\":1000,\
             \"priority\":1,\"service\":\"{service}\",\"maxAttempts\":2,\"stages\":{stages},\
             \"anonymous\":{anonymous},\"affinity\":{is_streaming},\"streamResume\":{is_streaming},\
             \"gapGoalMs\":300}}",
            prefix.trim_matches('/')
        )
    }
}

/// Returns a service that runs whole requests.
pub fn plain_service(name: &str) -> String {
    format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":100}}")
}

/// Returns a service of model replicas.
pub fn engine_service(name: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":360,\"engine\":\
         {{\"slots\":64,\"kvCapacity\":361794,\"kvTokenBytes\":327680,\"linkMbps\":220000.0,\
         \"handleS\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}}"
    )
}

/// Returns a service that makes pieces of stages, like `customer-portal` of the small site.
pub fn piece_service(name: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":360,\"pieces\":\
         {{\"slots\":1,\"queue\":2,\"batch\":18,\"callMs\":200.0,\"itemMs\":9.5,\
         \"headroomMb\":2.3,\"handleS\":4.0,\"linkMbps\":10000}}}}"
    )
}

/// Returns a tenant with its keys.
pub fn tenant(name: &str, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"name\":\"{name}\",\"apiKeys\":[{}],\"priority\":1}}",
        keys.join(",")
    )
}

/// Returns a whole configuration.
pub fn plan(
    version: u32,
    routes: &[RouteText<'_>],
    services: &[String],
    tenants: &[String],
) -> String {
    let routes: Vec<String> = routes.iter().map(RouteText::json).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":\
         {{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[{}]}}",
        routes.join(","),
        services.join(","),
        tenants.join(",")
    )
}
