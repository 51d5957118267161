//! Configurations come in quick succession while one machine is cut off from the store.

use {
    super::CaseEnd,
    crate::{
        edge_fleet::EdgeFleet,
        http_text::HttpMessage,
        link_proxy::LinkProxy,
        plan_text::{RouteText, plain_service, plan, tenant},
        run_record::RunRecord,
        stand_replica::{ReplicaCard, ReplicaLink, ReplicaWork, sealed_answer, start_replica},
        stand_store::StandStore,
        test_caller::{TestRequest, call},
    },
    std::{
        io::{self, Write},
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// Number of configurations, and the pause between them.
const CHANGE_COUNT: u32 = 25;
const CHANGE_GAP: Duration = Duration::from_millis(60);
/// Number of tenants, which makes a configuration of about 350,000 of the 1,048,576 bytes.
const TENANT_COUNT: usize = 5_000;
/// Time for which the machine is cut off from the store.
const CUT_TIME: Duration = Duration::from_millis(5_500);
/// `bounds.configMs`.
const CONFIG_BOUND: Duration = Duration::from_millis(2_000);
/// `bounds.contactMs`, after which the machine is in touch again.
const CONTACT_TIME: Duration = Duration::from_millis(3_000);
/// For this script's own delays.
const MARGIN: Duration = Duration::from_secs(1);
const WORK_TIME: Duration = Duration::from_millis(15);
const DEADLINE: Duration = Duration::from_secs(4);

/// A replica that names its service in its answers.
struct NamedWork {
    record: RunRecord,
}

impl ReplicaWork for NamedWork {
    fn run(
        &self,
        replica: &ReplicaCard,
        request: &HttpMessage,
        link: &mut ReplicaLink,
    ) -> io::Result<()> {
        let id = request.header("x-request-id").unwrap_or_default();
        self.record.line(format!("{} runs {id}", replica.id));
        thread::sleep(WORK_TIME);
        let answer = sealed_answer(request, replica.service.as_bytes());
        link.stream.write_all(&answer)
    }
}

pub fn run(record: &RunRecord, has_trouble: bool) -> io::Result<CaseEnd> {
    let store = StandStore::start()?;
    for service in ["portal-old", "portal-new"] {
        for number in 1..=2 {
            let work = NamedWork {
                record: record.clone(),
            };
            let id = format!("{service}-{number}");
            let zone = format!("zone-{number}");
            let card = start_replica(&id, service, &zone, 6, Arc::new(work))?;
            store.put(&card.key(), &card.item());
        }
    }
    let services = [plain_service("portal-old"), plain_service("portal-new")];
    let tenants: Vec<String> = (0..TENANT_COUNT)
        .map(|number| {
            let key = format!("key{number:017}");
            tenant(&format!("tenant{number}"), &[key.as_str()])
        })
        .collect();
    let plan_text = |version: u32, service: &str| {
        let routes = [RouteText {
            prefix: "/open/",
            route_type: "idempotent",
            service,
            timeout_ms: 4_000,
            anonymous: true,
            stages: "[]",
        }];
        plan(version, &routes, &services, &tenants)
    };
    let first = plan_text(1, "portal-old");
    record.line(format!("a configuration has {} bytes", first.len()));
    store.put("op/config", &first);
    let proxy = LinkProxy::start(store.address)?;
    let fleet = EdgeFleet::start_with_links(&[proxy.address, store.address, store.address])?;
    thread::sleep(Duration::from_secs(3));
    let send = |edge: usize, id: &str| {
        let request = TestRequest::new("GET", "/open/1", id, DEADLINE);
        let answer = call(fleet.edges[edge].front, &request);
        let (status, service) = match answer {
            Ok(answer) => {
                let text = String::from_utf8_lossy(&answer.body).to_string();
                (answer.status(), text)
            }
            Err(error) => (0, error.to_string()),
        };
        record.line(format!("{id} answered {status} by {service}"));
        (status, service)
    };
    for edge in 0..fleet.edges.len() {
        if send(edge, &format!("before-{edge}")) != (200, String::from("portal-old")) {
            return Err(io::Error::other("the first configuration is not in force"));
        }
    }
    proxy.set_cut(has_trouble);
    record.line(format!(
        "{} cut off from the store: {has_trouble}",
        fleet.edges[0].name
    ));
    let cut_at = Instant::now();
    thread::sleep(Duration::from_secs(1));
    for change in 1..=CHANGE_COUNT {
        let service = match change == CHANGE_COUNT {
            true => "portal-new",
            false => "portal-old",
        };
        let text = plan_text(change + 1, service);
        store.put("op/config", &text);
        record.line(format!("configuration {} confirmed: {service}", change + 1));
        thread::sleep(CHANGE_GAP);
    }
    let confirmed = Instant::now();
    thread::sleep(CUT_TIME.saturating_sub(cut_at.elapsed()));
    proxy.set_cut(false);
    record.line("the link is whole again");
    thread::sleep(CONTACT_TIME + CONFIG_BOUND + MARGIN);
    let mut faults = Vec::new();
    for round in 0..20 {
        for edge in 0..fleet.edges.len() {
            let age = confirmed.elapsed();
            let (status, service) = send(edge, &format!("after-{round}-{edge}"));
            if status == 200 && service == "portal-old" {
                faults.push(format!(
                    "edge {edge} ran a request at the old service {age:?} after the confirmation"
                ));
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    for fault in &faults {
        record.line(format!("CONFIG: {fault}"));
    }
    Ok(CaseEnd::judge(&faults))
}
