//! A replica sends a second answer to a request that it has answered, late, on a connection that
//! carries the next request by then: a rejection that bears the first request's id.

use {
    super::CaseEnd,
    crate::{
        edge_fleet::EdgeFleet,
        garble_dose::GarbleDose,
        http_text::{HttpMessage, answer_bytes},
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
        time::{Duration, Instant},
    },
};

/// Time that a request takes at a replica.
const WORK_TIME: Duration = Duration::from_millis(60);
/// Time for which requests are sent.
const LOAD_TIME: Duration = Duration::from_secs(25);
/// Interval between the requests of one caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);
const CALLER_COUNT: u32 = 10;
const DEADLINE: Duration = Duration::from_secs(4);

/// A replica of the ledger, with what all replicas ran.
struct LedgerWork {
    record: RunRecord,
    /// Replicas at which each request has run, by its id.
    runs: Arc<Mutex<BTreeMap<String, Vec<String>>>>,
    is_faulty: bool,
    dose: Arc<GarbleDose>,
}

impl ReplicaWork for LedgerWork {
    fn run(
        &self,
        replica: &ReplicaCard,
        request: &HttpMessage,
        link: &mut ReplicaLink,
    ) -> io::Result<()> {
        let id = request.header("x-request-id").unwrap_or_default();
        self.record.line(format!("{} runs {id}", replica.id));
        let mut runs = self.runs.lock().expect("no writer panics");
        let run_places = runs.entry(id.to_string()).or_default();
        run_places.push(replica.id.clone());
        drop(runs);
        if let Some(copy) = link.late_copy.take() {
            self.record
                .line(format!("{} sends its late second answer", replica.id));
            link.stream.write_all(&copy)?;
        }
        thread::sleep(WORK_TIME);
        link.stream.write_all(&sealed_answer(request, b"posted"))?;
        if self.is_faulty && self.dose.take_answer() {
            let headers = [("X-Not-Executed", "1"), ("X-Request-Id", id)];
            link.late_copy = Some(answer_bytes(503, &headers, b""));
        }
        Ok(())
    }
}

pub fn run(record: &RunRecord, has_trouble: bool) -> io::Result<CaseEnd> {
    let store = StandStore::start()?;
    let dose = Arc::new(GarbleDose::default());
    let runs = Arc::new(Mutex::new(BTreeMap::new()));
    for number in 1..=3 {
        let work = LedgerWork {
            record: record.clone(),
            runs: Arc::clone(&runs),
            is_faulty: has_trouble && number == 1,
            dose: Arc::clone(&dose),
        };
        let zone = format!("zone-{number}");
        let id = format!("ledger-{number}");
        let card = start_replica(&id, "ledger-api", &zone, 6, Arc::new(work))?;
        store.put(&card.key(), &card.item());
    }
    let route = |prefix, route_type| RouteText {
        prefix,
        route_type,
        service: "ledger-api",
        timeout_ms: 4_000,
        anonymous: false,
        stages: "[]",
    };
    let routes = [
        route("/post/", "non_idempotent"),
        route("/view/", "idempotent"),
    ];
    let services = [plain_service("ledger-api")];
    let tenants = [tenant("farm", &["key-farm"])];
    store.put("op/config", &plan(1, &routes, &services, &tenants));
    let fleet = EdgeFleet::start(3, store.address)?;
    // A process gets no repeats before a window of the budget has passed.
    thread::sleep(Duration::from_secs(10));
    let fronts: Vec<_> = fleet.edges.iter().map(|edge| edge.front).collect();
    dose.start();
    let callers = (0..CALLER_COUNT).map(|caller| {
        let (record, fronts) = (record.clone(), fronts.clone());
        thread::spawn(move || {
            thread::sleep(REQUEST_INTERVAL * caller / CALLER_COUNT);
            let started = Instant::now();
            let mut answers = Vec::new();
            for number in 0.. {
                if started.elapsed() > LOAD_TIME {
                    break;
                }
                let front = fronts[number % fronts.len()];
                let id = format!("c{caller}-{number}");
                let request = match number % 8 {
                    0 => TestRequest::new("GET", "/view/1", &id, DEADLINE),
                    _ => TestRequest::new("POST", "/post/1", &id, DEADLINE).with_body(b"entry"),
                };
                let is_post = request.method == "POST";
                let status = call(front, &request.with_key("key-farm"));
                let status = status.map_or(0, |answer| answer.status());
                record.line(format!("{id} answered {status}"));
                answers.push((id, is_post, status));
                thread::sleep(REQUEST_INTERVAL);
            }
            answers
        })
    });
    let callers: Vec<_> = callers.collect();
    let answers: Vec<_> = callers
        .into_iter()
        .flat_map(|caller| caller.join().expect("no caller panics"))
        .collect();
    let runs = runs.lock().expect("no writer panics");
    let mut faults = Vec::new();
    for (id, is_post, status) in &answers {
        let places = runs.get(id).cloned().unwrap_or_default();
        if *is_post && places.len() > 1 {
            faults.push(format!("TWICE: {id} ran at {places:?}, answered {status}"));
        }
        if *is_post && !places.is_empty() && matches!(status, 408 | 421 | 429 | 503) {
            faults.push(format!(
                "REFUSED: {id} ran at {places:?}, answered {status}"
            ));
        }
    }
    for fault in &faults {
        record.line(fault);
    }
    let served = answers.iter().filter(|(_, _, status)| *status == 200);
    let (served, sent) = (served.count(), answers.len());
    record.line(format!("{served} of {sent} requests served"));
    if served * 2 < sent {
        return Err(io::Error::other("under half of the requests were served"));
    }
    Ok(CaseEnd::judge(&faults))
}
