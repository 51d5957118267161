//! The operator's configuration, as JSON text.

/// A route to one service.
#[derive(Debug, Clone, Copy)]
pub struct PlanRoute<'a> {
    pub prefix: &'a str,
    pub route_type: &'a str,
    pub service: &'a str,
    pub resumes: bool,
    pub timeout_ms: u32,
    pub goal_ms: u32,
    /// Services of stages that need no other stage's results.
    pub stages: &'a [&'a str],
}

/// Returns a configuration with these routes, and one tenant that has the keys.
pub fn plan_text(
    version: u32,
    routes: &[PlanRoute<'_>],
    engines: &[&str],
    plain: &[&str],
    keys: &[&str],
) -> String {
    let route_texts = routes.iter().map(route_text);
    let route_texts = route_texts.collect::<Vec<_>>().join(",");
    let engine = "\"engine\":{\"slots\":64,\"kvCapacity\":400000,\"kvTokenBytes\":327680,\
                  \"linkMbps\":240000.0}";
    let service = |name: &str, more: &str| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":280,\
             \"protocol\":\"h1\",\"tls\":false{more}}}"
        )
    };
    let engines = engines
        .iter()
        .map(|name| service(name, &format!(",{engine}")));
    let pieces = ",\"pieces\":{\"slots\":1,\"queue\":2,\"batch\":8,\"callMs\":200.0,\"itemMs\":21.0,\
                  \"headroomMb\":18.0,\"handleS\":4.0,\"linkMbps\":10000}";
    let stages = routes.iter().flat_map(|route| route.stages);
    let stages = stages.map(|name| service(name, pieces));
    let services = engines.chain(plain.iter().map(|name| service(name, "")));
    let services = services.chain(stages);
    let services = services.collect::<Vec<_>>().join(",");
    let keys = keys.iter().map(|key| format!("\"{key}\""));
    let keys = keys.collect::<Vec<_>>().join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{route_texts}],\"services\":[{services}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-a\",\"apiKeys\":[{keys}],\"priority\":1}}]}}"
    )
}

fn route_text(route: &PlanRoute<'_>) -> String {
    let PlanRoute {
        prefix,
        route_type,
        service,
        resumes,
        timeout_ms,
        goal_ms,
        stages,
    } = route;
    let stages = stages
        .iter()
        .map(|name| format!("{{\"service\":\"{name}\",\"after\":[],\"bytes\":8000}}"));
    let stages = stages.collect::<Vec<_>>().join(",");
    let attempts = match *route_type {
        "non_idempotent" => 1,
        _ => 2,
    };
    format!(
        "{{\"name\":\"r{prefix}\",\"host\":\"app.example\",\"prefix\":\"{prefix}\",\
         \"routeType\":\"{route_type}\",\"timeoutMs\":{timeout_ms},\
         \"latencyGoalMs\":{goal_ms},\"priority\":1,\"service\":\"{service}\",\
         \"maxAttempts\":{attempts},\"stages\":[{stages}],\"anonymous\":false,\"affinity\":false,\
         \"streamResume\":{resumes},\"gapGoalMs\":250}}"
    )
}
