//! A machine is stopped as planned while a requester on a slow link reads its answer.

use {
    super::CaseEnd,
    crate::{
        edge_fleet::EdgeFleet,
        http_text::HttpMessage,
        plan_text::{RouteText, plain_service, plan, tenant},
        run_record::RunRecord,
        stand_replica::{ReplicaCard, ReplicaLink, ReplicaWork, sealed_answer, start_replica},
        stand_store::StandStore,
        test_caller::{TestRequest, read_slowly, send_slowly},
    },
    std::{
        io::{self, Write},
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// Length of an answer.
const ANSWER_BYTES: usize = 4_000_000;
/// Bytes that a requester's link carries in a second: 10 Mbit/s.
const LINK_BYTES_PER_SECOND: usize = 1_250_000;
const WORK_TIME: Duration = Duration::from_millis(60);
const DEADLINE: Duration = Duration::from_secs(20);
/// Times after the SIGTERM at which requests are sent.
const SEND_TIMES: [Duration; 4] = [
    Duration::from_millis(2_300),
    Duration::from_millis(2_500),
    Duration::from_millis(2_700),
    Duration::from_millis(2_900),
];

/// A replica that answers with a long report.
struct ReportWork {
    record: RunRecord,
}

impl ReplicaWork for ReportWork {
    fn run(
        &self,
        replica: &ReplicaCard,
        request: &HttpMessage,
        link: &mut ReplicaLink,
    ) -> io::Result<()> {
        let id = request.header("x-request-id").unwrap_or_default();
        self.record.line(format!("{} runs {id}", replica.id));
        thread::sleep(WORK_TIME);
        let answer = sealed_answer(request, &vec![b'r'; ANSWER_BYTES]);
        link.stream.write_all(&answer)?;
        self.record
            .line(format!("{} has answered {id}", replica.id));
        Ok(())
    }
}

pub fn run(record: &RunRecord, has_trouble: bool) -> io::Result<CaseEnd> {
    let store = StandStore::start()?;
    for number in 1..=3 {
        let work = ReportWork {
            record: record.clone(),
        };
        let zone = format!("zone-{number}");
        let id = format!("report-{number}");
        let card = start_replica(&id, "reports", &zone, 6, Arc::new(work))?;
        store.put(&card.key(), &card.item());
    }
    let routes = [RouteText {
        prefix: "/report/",
        route_type: "idempotent",
        service: "reports",
        timeout_ms: 20_000,
        anonymous: false,
        stages: "[]",
    }];
    let services = [plain_service("reports")];
    let tenants = [tenant("farm", &["key-farm"])];
    store.put("op/config", &plan(1, &routes, &services, &tenants));
    let fleet = EdgeFleet::start(2, store.address)?;
    thread::sleep(Duration::from_secs(3));
    let leaving = &fleet.edges[0];
    let started = Instant::now();
    if has_trouble {
        leaving.signal("TERM")?;
        record.line(format!("SIGTERM to {}", leaving.name));
    }
    let front = leaving.front;
    let callers = SEND_TIMES.iter().enumerate().map(|(number, send_time)| {
        let (record, send_time) = (record.clone(), *send_time);
        thread::spawn(move || {
            thread::sleep(send_time.saturating_sub(started.elapsed()));
            let id = format!("report-{number}");
            let request = TestRequest::new("GET", "/report/1", &id, DEADLINE).with_key("key-farm");
            record.line(format!("{id} sent"));
            let answer = send_slowly(front, &request);
            let answer =
                answer.and_then(|mut reader| read_slowly(&mut reader, LINK_BYTES_PER_SECOND));
            record.line(format!(
                "{id}: {answer:?} (status, length, bytes received) after {:?}",
                started.elapsed()
            ));
            (id, answer)
        })
    });
    let callers: Vec<_> = callers.collect();
    let mut faults = Vec::new();
    for caller in callers {
        let (id, answer) = caller.join().expect("no caller panics");
        match answer {
            Ok((200, length, received)) if received < length => faults.push(format!(
                "{id}: the answer ended after {received} of {length} bytes"
            )),
            _ => {}
        }
    }
    while has_trouble && !leaving.has_exited() && started.elapsed() < Duration::from_secs(9) {
        thread::sleep(Duration::from_millis(20));
    }
    record.line(format!(
        "{} has exited: {}, {:?} after the SIGTERM",
        leaving.name,
        leaving.has_exited(),
        started.elapsed()
    ));
    for fault in &faults {
        record.line(format!("LOST: {fault}"));
    }
    Ok(CaseEnd::judge(&faults))
}
