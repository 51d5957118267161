//! Guards against requests that match the wrong route rule or get the wrong share of a service,
//! and against keys that are looked up for the wrong organisation.

use {
    plan::{FleetPlan, KeyOwner, KeyRegistry, RepeatRule, RouteRule},
    std::time::Duration,
};

fn rule(host: &str, prefix: &str) -> RouteRule {
    RouteRule {
        name: format!("{host}{prefix}"),
        host: host.to_string(),
        prefix: prefix.to_string(),
        repeat: RepeatRule::Idempotent,
        streaming: false,
        timeout: Duration::from_secs(1),
        latency_goal: Duration::from_millis(100),
        first_event_limit: None,
        priority: 1,
        split: vec![(String::from("s"), 3), (String::from("t"), 1)],
        max_targets: 1,
        stages: Vec::new(),
        anonymous: false,
    }
}

#[test]
fn longest_prefix_of_the_host_wins() {
    let rules = [
        rule("a", "/"),
        rule("a", "/x/"),
        rule("a", "/x/y/"),
        rule("b", "/x/"),
    ];
    let plan = FleetPlan::new(1, KeyRegistry::default(), [], rules);
    let name = |host, path| plan.route(host, path).map(|rule| rule.name.clone());
    assert_eq!(name("a", "/x/y/z").as_deref(), Some("a/x/y/"));
    assert_eq!(name("a", "/x/z").as_deref(), Some("a/x/"));
    assert_eq!(name("A", "/other").as_deref(), Some("a/"));
    assert_eq!(name("b", "/x/y/").as_deref(), Some("b/x/"));
    assert_eq!(name("b", "/y/"), None);
    assert_eq!(name("c", "/"), None);
}

#[test]
fn services_are_picked_by_weight() {
    let rule = rule("a", "/");
    let picked =
        (0..100).filter(|percent| rule.pick_service(f64::from(*percent) / 100.0) == Some("s"));
    // The weights of `s` and `t` are 3 and 1.
    assert_eq!(picked.count(), 75);
}

#[test]
fn key_belongs_to_its_organisation() {
    let mut registry = KeyRegistry::default();
    assert!(!registry.needs_key());
    let owner = KeyOwner {
        organisation: String::from("farm"),
        priority: Some(2),
    };
    registry.insert("k", owner.clone());
    assert!(registry.needs_key());
    assert_eq!(registry.owner("k"), Some(&owner));
    assert_eq!(registry.owner(""), None);
}

#[test]
fn weights_of_any_size_share_the_requests() {
    let mut rule = rule("a", "/");
    rule.split = ["s", "t"]
        .map(|name| (String::from(name), u32::MAX))
        .to_vec();
    assert_eq!(rule.pick_service(0.4), Some("s"));
    assert_eq!(rule.pick_service(0.6), Some("t"));
}

#[test]
fn services_of_weight_0_get_nothing() {
    let mut rule = rule("a", "/");
    let split = |weights: [u32; 2]| {
        vec![
            (String::from("s"), weights[0]),
            (String::from("t"), weights[1]),
        ]
    };
    rule.split = split([1, 0]);
    for draw in [0.0, 0.5, 0.999, 1.0] {
        assert_eq!(rule.pick_service(draw), Some("s"));
    }
    rule.split = split([0, 0]);
    assert_eq!(rule.pick_service(0.5), None);
}
