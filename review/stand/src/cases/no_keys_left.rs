//! The operator takes away the last keys of a configuration with tenants.

use {
    super::CaseEnd,
    crate::{
        edge_fleet::EdgeFleet,
        http_text::HttpMessage,
        plan_text::{RouteText, plain_service, plan, tenant},
        run_record::RunRecord,
        stand_replica::{ReplicaCard, ReplicaLink, ReplicaWork, sealed_answer, start_replica},
        stand_store::StandStore,
        test_caller::{TestRequest, call},
    },
    std::{
        collections::BTreeMap,
        io::{self, Write},
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
};

/// Pause between two configurations, each of which takes one key away.
const REVOKE_GAP: Duration = Duration::from_millis(400);
/// `bounds.revokeMs`, and a margin for this script's own delays.
const REVOKE_BOUND: Duration = Duration::from_millis(5_000);
const MARGIN: Duration = Duration::from_secs(2);
const WORK_TIME: Duration = Duration::from_millis(15);
const DEADLINE: Duration = Duration::from_secs(4);

/// A replica of the ledger, with the tenants for which requests ran, by the request's id.
struct LedgerWork {
    record: RunRecord,
    runs: Arc<Mutex<BTreeMap<String, Option<String>>>>,
}

impl ReplicaWork for LedgerWork {
    fn run(
        &self,
        replica: &ReplicaCard,
        request: &HttpMessage,
        link: &mut ReplicaLink,
    ) -> io::Result<()> {
        let id = request.header("x-request-id").unwrap_or_default();
        let tenant = request.header("x-tenant").map(String::from);
        self.record
            .line(format!("{} runs {id}, X-Tenant: {tenant:?}", replica.id));
        let mut runs = self.runs.lock().expect("no writer panics");
        runs.insert(id.to_string(), tenant);
        drop(runs);
        thread::sleep(WORK_TIME);
        link.stream.write_all(&sealed_answer(request, b"balance"))
    }
}

pub fn run(record: &RunRecord, has_trouble: bool) -> io::Result<CaseEnd> {
    let store = StandStore::start()?;
    let runs = Arc::new(Mutex::new(BTreeMap::new()));
    for number in 1..=3 {
        let work = LedgerWork {
            record: record.clone(),
            runs: Arc::clone(&runs),
        };
        let zone = format!("zone-{number}");
        let id = format!("ledger-{number}");
        let card = start_replica(&id, "ledger-api", &zone, 6, Arc::new(work))?;
        store.put(&card.key(), &card.item());
    }
    let routes = [RouteText {
        prefix: "/view/",
        route_type: "idempotent",
        service: "ledger-api",
        timeout_ms: 4_000,
        anonymous: false,
        stages: "[]",
    }];
    let services = [plain_service("ledger-api")];
    let write_plan = |version: u32, coop_keys: &[&str], elevator_keys: &[&str]| {
        let tenants = [tenant("coop", coop_keys), tenant("elevator", elevator_keys)];
        store.put("op/config", &plan(version, &routes, &services, &tenants));
        record.line(format!(
            "configuration {version}: coop {coop_keys:?}, elevator {elevator_keys:?}"
        ));
    };
    write_plan(1, &["key-1", "key-2"], &["key-3"]);
    let fleet = EdgeFleet::start(3, store.address)?;
    thread::sleep(Duration::from_secs(3));
    let send = |edge: usize, key: &str, id: &str| {
        let request = TestRequest::new("GET", "/view/1", id, DEADLINE).with_key(key);
        let status = call(fleet.edges[edge].front, &request);
        let status = status.map_or(0, |answer| answer.status());
        record.line(format!("{id} with {key} answered {status}"));
        status
    };
    for (number, key) in ["key-1", "key-2", "key-3"].iter().enumerate() {
        if send(number, key, &format!("before-{key}")) != 200 {
            return Err(io::Error::other(
                "a request with a valid key was not served",
            ));
        }
    }
    if has_trouble {
        write_plan(3, &["key-1", "key-2"], &[]);
        thread::sleep(REVOKE_GAP);
        write_plan(4, &["key-1"], &[]);
        thread::sleep(REVOKE_GAP);
        write_plan(7, &[], &[]);
    }
    thread::sleep(REVOKE_BOUND + MARGIN);
    let mut faults = Vec::new();
    for round in 0..4 {
        for edge in 0..fleet.edges.len() {
            for key in ["key-1", "key-2", "key-3", "key-of-nobody"] {
                let id = format!("after-{round}-{edge}-{key}");
                let status = send(edge, key, &id);
                let is_valid = !has_trouble && key != "key-of-nobody";
                let runs = runs.lock().expect("no writer panics");
                match runs.get(&id) {
                    Some(tenant) if !is_valid => faults.push(format!(
                        "{id} ran and was answered {status}, X-Tenant: {tenant:?}"
                    )),
                    _ => {}
                }
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    for fault in &faults {
        record.line(format!("CONFIG, ROUTE: {fault}"));
    }
    Ok(CaseEnd::judge(&faults))
}
