//! The arrival schedule: deterministic for a seed, with the stated rates and shares.

use {
    load::{ArrivalSchedule, ScheduleParameters, TopologyFile, WorkloadFile},
    sheet::FleetSheet,
    std::{
        fs,
        path::{Path, PathBuf},
        time::Duration,
    },
};

const RUN_DURATION: Duration = Duration::from_secs(400);

fn workload(arrival: &str) -> WorkloadFile {
    let text = format!(
        r#"
        name = "test"
        duration = "400s"
        pipeline = [{{ name = "lookup", deadline = "1s", tokens = 7, stage = [{{ call = "f" }}] }}]
        customer = [
            {{ name = "large", credential = "a", share = 3.0 }},
            {{ name = "small", credential = "b", share = 1.0 }},
        ]
        flow = [{{ pipeline = "lookup", arrival = {arrival} }}]
        "#
    );
    let workload: WorkloadFile = toml::from_str(&text).unwrap();
    workload.check().unwrap();
    workload
}

fn draw(arrival: &str, seed: u64) -> ArrivalSchedule {
    ArrivalSchedule::draw(
        &workload(arrival),
        &ScheduleParameters::new(seed, RUN_DURATION),
    )
}

fn count_where(
    schedule: &ArrivalSchedule,
    is_included: impl Fn(&load::PlannedRequest) -> bool,
) -> f64 {
    let included = schedule
        .requests
        .iter()
        .filter(|planned| is_included(planned));
    included.count() as f64
}

/// Asserts that a Poisson count is within five standard deviations of its mean.
fn assert_poisson(count: f64, mean: f64) {
    assert!(
        (count - mean).abs() < 5.0 * mean.sqrt(),
        "{count} is far from {mean}"
    );
}

/// Cases are compared seed by seed, which needs the same requests in each of them.
#[test]
fn equal_seeds_give_equal_schedules_and_different_seeds_differ() {
    let arrival = r#"{ kind = "poisson", rate = 20.0 }"#;
    assert_eq!(draw(arrival, 3), draw(arrival, 3));
    assert_ne!(draw(arrival, 3).requests, draw(arrival, 4).requests);
}

/// The driver sends in order of the list, so an unsorted schedule would send requests late.
#[test]
fn poisson_arrivals_match_rate_and_shares_and_are_sorted_by_time() {
    let schedule = draw(r#"{ kind = "poisson", rate = 20.0 }"#, 5);
    assert_poisson(count_where(&schedule, |_| true), 8_000.0);
    assert_poisson(
        count_where(&schedule, |planned| planned.customer == "large"),
        6_000.0,
    );
    assert!(schedule.requests.is_sorted_by_key(|planned| planned.at));
    assert!(
        schedule
            .requests
            .iter()
            .all(|planned| planned.body.ends_with(" tokens=7"))
    );
}

/// A wrong phase or acceptance rate in the thinning shifts arrivals out of the bursts.
#[test]
fn bursts_occur_at_the_start_of_each_period() {
    let arrival = r#"{ kind = "burst", rate = 10.0, peak = 40.0, every = "10s", length = "2s" }"#;
    let schedule = draw(arrival, 6);
    let burst = count_where(&schedule, |planned| planned.at.as_secs_f64() % 10.0 < 2.0);
    assert_poisson(burst, 40.0 * 80.0);
    assert_poisson(count_where(&schedule, |_| true) - burst, 10.0 * 320.0);
}

/// The first half of a ramp from zero has a quarter of its arrivals.
#[test]
fn ramp_rises_linearly() {
    let schedule = draw(r#"{ kind = "ramp", from = 0.0, to = 40.0 }"#, 7);
    let early = count_where(&schedule, |planned| planned.at < RUN_DURATION / 2);
    assert_poisson(early, 2_000.0);
    assert_poisson(count_where(&schedule, |_| true) - early, 6_000.0);
}

/// A generator shared by all customers would change every arrival when one rate changes.
#[test]
fn scaling_one_customer_leaves_the_arrivals_of_others_unchanged() {
    let workload = workload(r#"{ kind = "poisson", rate = 20.0 }"#);
    let unscaled = ScheduleParameters::new(8, RUN_DURATION);
    let mut scaled = unscaled.clone();
    scaled
        .customer_rate_factors
        .insert(String::from("small"), 10.0);
    let large = |parameters| {
        let mut requests = ArrivalSchedule::draw(&workload, parameters).requests;
        requests.retain(|planned| planned.customer == "large");
        requests
    };
    assert_eq!(large(&unscaled), large(&scaled));
    let schedule = ArrivalSchedule::draw(&workload, &scaled);
    assert_poisson(
        count_where(&schedule, |planned| planned.customer == "small"),
        20_000.0,
    );
}

/// Targets recognise repeats of a request by its id, so a shared id would hide a request.
#[test]
fn request_ids_are_unique() {
    let schedule = draw(r#"{ kind = "poisson", rate = 20.0 }"#, 9);
    let ids: std::collections::BTreeSet<_> = schedule
        .requests
        .iter()
        .map(|planned| &planned.request)
        .collect();
    assert_eq!(ids.len(), schedule.requests.len());
}

/// Expected answers, credentials and slots are stated in several files, which can drift apart.
#[test]
fn checked_in_workloads_match_their_sheets_and_topologies() {
    let cases = [
        [
            "examples/workloads/furrowline",
            "examples/sheets/furrowline",
            "examples/topology/furrowline",
        ],
        [
            "examples/workloads/tamarind",
            "examples/sheets/tamarind",
            "examples/topology/tamarind",
        ],
        ["demo/workload", "demo/sheet", "demo/topology"],
    ];
    for [workload, sheet, topology] in cases {
        let workload =
            WorkloadFile::load(repository_path(workload).with_extension("toml")).unwrap();
        let topology =
            TopologyFile::load(repository_path(topology).with_extension("toml")).unwrap();
        let sheet = read_sheet(&repository_path(sheet));
        for pipeline in &workload.pipeline {
            let stages = &sheet.pipelines[&pipeline.name].stage;
            let calls: Vec<&String> = stages.iter().map(|stage| &stage.call).collect();
            let loads: Vec<&String> = pipeline.stage.iter().map(|stage| &stage.call).collect();
            assert_eq!(calls, loads);
            for (stage, load) in stages.iter().zip(&pipeline.stage) {
                assert_eq!(sheet.is_engine_pool(&stage.pool), load.engine);
            }
        }
        for customer in &workload.customer {
            let digest = base::AnswerDigest::of(customer.credential.as_bytes()).hex();
            assert_eq!(sheet.customers[&customer.name].credential, digest);
        }
        assert_eq!(sheet.targets.len(), topology.target.len());
        for spec in &topology.target {
            let target = &sheet.targets[&spec.name];
            assert_eq!((&target.pool, target.capacity), (&spec.pool, spec.slots));
            assert_eq!(
                (&target.data_centre, &target.models),
                (&spec.data_centre, &spec.models)
            );
        }
    }
}

fn repository_path(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .join(path)
}

fn read_sheet(directory: &Path) -> FleetSheet {
    let entries = fs::read_dir(directory).unwrap();
    let mut paths: Vec<PathBuf> = entries.map(|entry| entry.unwrap().path()).collect();
    paths.sort();
    let texts: Vec<String> = paths
        .iter()
        .map(|path| fs::read_to_string(path).unwrap())
        .collect();
    let index = stand::SheetPublisher::build_index(1, &texts);
    FleetSheet::assemble(index, &texts).unwrap()
}
