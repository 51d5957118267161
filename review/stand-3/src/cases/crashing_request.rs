//! A request crashes each replica that runs it, and comes again.

use {
    crate::{
        RuleOutcome,
        edge_process::{EdgeFleet, EdgeProcess},
        run_record::RunRecord,
        stand_replica::{CrashRule, StandReplica},
        stand_store::StandStore,
        test_requester::{RequestKind, send_until},
    },
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const SERVICE: &str = "ledger-api";
const REPLICA_COUNT: usize = 9;
const EDGE_COUNT: usize = 4;
/// Requesters of sound requests, over all entries.
const BYSTANDER_COUNT: usize = 12;
/// Requesters that send the crashing request again and again, each on its kept connection.
const REPEATER_COUNT: usize = 6;
const REPEAT_PAUSE: Duration = Duration::from_secs(1);
const WORK_TIME: Duration = Duration::from_millis(100);
/// Time for which the crashing request runs before its replica crashes.
const CRASH_DELAY: Duration = Duration::from_millis(900);
/// Time after which a replica that has crashed is back.
const RETURN_TIME: Duration = Duration::from_secs(3);
/// Time after which the store drops the entry of a silent replica: three heartbeat intervals.
const EXPIRY_TIME: Duration = Duration::from_millis(3_600);
const RUN_TIME: Duration = Duration::from_secs(75);
const CONTACT_TIME: Duration = Duration::from_millis(3_000);
/// Retries after the third crash that the rule allows.
const MAX_RETRIES: usize = 3;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-post","host":"jepu9.example","prefix":"/bobo563/","routeType":"non_idempotent","timeoutMs":4000,"latencyGoalMs":300,"priority":1,"service":"ledger-api","maxAttempts":1,"stages":[],"anonymous":false},{"name":"r-view","host":"jepu9.example","prefix":"/wuhu344/","routeType":"idempotent","timeoutMs":4000,"latencyGoalMs":300,"priority":1,"service":"ledger-api","maxAttempts":1,"stages":[],"anonymous":false}],"services":[{"name":"ledger-api","healthPath":"/health","maxConnections":100}],"tenants":[{"name":"bozi300","apiKeys":["key-a"]}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":10000,"idleTimeoutMs":60000}}"#;

/// BUDGET: a request that has crashed three replicas reaches replicas in at most three retries after `contactMs`.
pub fn crashing_request(record: &Arc<RunRecord>, has_trouble: bool) -> Result<RuleOutcome, String> {
    let store = StandStore::start(record);
    store.put("op/config", CONFIG);
    let rule = Arc::new(CrashRule {
        path: if has_trouble { "/wuhu344/crash" } else { "" },
        delay: CRASH_DELAY,
        runs: Mutex::default(),
        crashes: Mutex::default(),
    });
    let service = Arc::new(CrashingService {
        store: store.clone(),
        rule,
        started: AtomicUsize::new(0),
        record: Arc::clone(record),
    });
    let stop = Arc::new(AtomicBool::new(false));
    for _ in 0..REPLICA_COUNT {
        service.keep_replica(&stop);
    }
    let fleet = EdgeFleet::start(EDGE_COUNT, store.address, record)?;
    let kind = |method, path, pause| RequestKind {
        method,
        path,
        piece_key: None,
        deadline_ms: 4_000,
        pause,
    };
    let fronts = fleet.edges.iter().map(EdgeProcess::front).cycle();
    let posting = kind("POST", "/bobo563/2f", Duration::from_millis(100));
    let bystanders = fronts.take(BYSTANDER_COUNT);
    let bystanders = bystanders.map(|front| send_until(front, posting.clone(), &stop, record));
    let bystanders: Vec<_> = bystanders.collect();
    thread::sleep(Duration::from_secs(2));
    let front = fleet.edges[0].front();
    let repeated = kind("GET", "/wuhu344/crash", REPEAT_PAUSE);
    let repeaters = 0..REPEATER_COUNT;
    let repeaters = repeaters.map(|_| send_until(front, repeated.clone(), &stop, record));
    let repeaters: Vec<_> = repeaters.collect();
    thread::sleep(RUN_TIME);
    stop.store(true, Ordering::SeqCst);
    let mut lost = 0;
    let mut served = 0;
    for bystander in bystanders {
        let sent = bystander.join().map_err(|_| "a requester has panicked")?;
        served += sent
            .iter()
            .filter(|request| request.status == Some(200))
            .count();
        lost += sent
            .iter()
            .filter(|request| request.status == Some(502))
            .count();
    }
    let mut repeat_count = 0;
    for repeater in repeaters {
        let sent = repeater.join().map_err(|_| "a requester has panicked")?;
        repeat_count += sent.len();
    }
    record.note(&format!(
        "sound postings: {served} served, {lost} lost; the other request was sent {repeat_count} times"
    ));
    if served == 0 {
        return Err(String::from("no sound request was served"));
    }
    Ok(judge(&service.rule, record))
}

fn judge(rule: &CrashRule, record: &RunRecord) -> RuleOutcome {
    let runs = rule.runs.lock().expect("the runs").clone();
    let mut crashes = rule.crashes.lock().expect("the crashes").clone();
    crashes.sort();
    record.note(&format!(
        "it reached replicas {} times, crashes at {crashes:?}",
        runs.len()
    ));
    let Some(third) = crashes.get(2) else {
        return RuleOutcome::Held;
    };
    let retries = runs
        .iter()
        .filter(|at| **at > *third + CONTACT_TIME)
        .count();
    match retries > MAX_RETRIES {
        true => RuleOutcome::Broken(format!(
            "{retries} retries reached replicas later than contactMs after the third crash"
        )),
        false => RuleOutcome::Held,
    }
}

/// Replicas that come back under another id after a crash.
struct CrashingService {
    store: StandStore,
    rule: Arc<CrashRule>,
    started: AtomicUsize,
    record: Arc<RunRecord>,
}

impl CrashingService {
    /// Keeps one replica running until told to stop.
    fn keep_replica(self: &Arc<Self>, stop: &Arc<AtomicBool>) {
        let (service, stop) = (Arc::clone(self), Arc::clone(stop));
        let mut replica = service.start_replica();
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(20));
                if !replica.has_ended() {
                    continue;
                }
                let crashed_at = Instant::now();
                thread::sleep(RETURN_TIME);
                let crashed = std::mem::replace(&mut replica, service.start_replica());
                thread::sleep(EXPIRY_TIME.saturating_sub(crashed_at.elapsed()));
                service.store.remove(&format!("servers/{}", crashed.id));
            }
        });
    }

    fn start_replica(&self) -> Arc<StandReplica> {
        let number = self.started.fetch_add(1, Ordering::SeqCst);
        let id = format!("i-{number:08x}");
        let rule = Some(Arc::clone(&self.rule));
        let replica = StandReplica::start_with(&id, WORK_TIME, rule, &self.record);
        let entry = replica.store_entry(SERVICE, "ready");
        self.store.put(&format!("servers/{id}"), &entry);
        replica
    }
}
