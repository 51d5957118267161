//! Replicas are replaced one after the other, each without a report that it drains, while the store
//! cuts watches that wait.

use {
    crate::{
        RuleOutcome,
        edge_process::{EdgeFleet, EdgeProcess},
        run_record::RunRecord,
        stand_replica::StandReplica,
        stand_store::StandStore,
        test_requester::{RequestKind, send_until},
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, JoinHandle},
        time::Duration,
    },
};

const SERVICE: &str = "ledger-api";
/// Time for which a replica that leaves still serves.
const DRAIN_TIME: Duration = Duration::from_millis(2_000);
/// Time that it serves on after that; then it exits, whatever it works on.
const LINGER_TIME: Duration = Duration::from_millis(250);
/// Time between two replacements; with the interval of the cuts they meet at all offsets.
const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(1_900);
/// Time between two cuts of the waiting watches.
const CUT_INTERVAL: Duration = Duration::from_millis(2_300);
const REPLACEMENT_COUNT: usize = 12;
const EDGE_COUNT: usize = 4;
const REQUESTER_COUNT: usize = 12;
const WORK_TIME: Duration = Duration::from_millis(120);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-post","host":"jepu9.example","prefix":"/bobo563/","routeType":"non_idempotent","timeoutMs":4000,"latencyGoalMs":300,"priority":1,"service":"ledger-api","maxAttempts":1,"stages":[],"anonymous":false}],"services":[{"name":"ledger-api","healthPath":"/health","maxConnections":100}],"tenants":[{"name":"bozi300","apiKeys":["key-a"]}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":10000,"idleTimeoutMs":60000}}"#;

/// DRAIN: no request reaches a replica later than `drainMs` after the store has confirmed that it is gone.
pub fn removed_replica(record: &Arc<RunRecord>, has_trouble: bool) -> Result<RuleOutcome, String> {
    let store = StandStore::start(record);
    store.put("op/config", CONFIG);
    let mut replicas: Vec<_> = (0..3)
        .map(|number| add_replica(&store, number, record))
        .collect();
    let fleet = EdgeFleet::start(EDGE_COUNT, store.address, record)?;
    let stop = Arc::new(AtomicBool::new(false));
    let kind = RequestKind {
        method: "POST",
        path: "/bobo563/2f",
        piece_key: None,
        deadline_ms: 4_000,
        pause: Duration::from_millis(20),
    };
    let fronts = fleet.edges.iter().map(EdgeProcess::front);
    let fronts: Vec<_> = fronts.cycle().take(REQUESTER_COUNT).collect();
    let requesters = fronts.into_iter();
    let requesters = requesters.map(|front| send_until(front, kind.clone(), &stop, record));
    let requesters: Vec<_> = requesters.collect();
    thread::sleep(Duration::from_secs(5));
    let cutting = has_trouble.then(|| cut_watches(&store, &stop));
    let mut left = Vec::new();
    for number in 0..REPLACEMENT_COUNT {
        replicas.push(add_replica(&store, 3 + number, record));
        thread::sleep(REPLACEMENT_INTERVAL / 2);
        let leaving = replicas.remove(0);
        let gone_at = store.remove(&format!("servers/{}", leaving.id));
        left.push((Arc::clone(&leaving), gone_at));
        thread::spawn(move || {
            thread::sleep(DRAIN_TIME + LINGER_TIME);
            leaving.end();
        });
        thread::sleep(REPLACEMENT_INTERVAL / 2);
    }
    thread::sleep(DRAIN_TIME + LINGER_TIME);
    stop.store(true, Ordering::SeqCst);
    let mut sent = Vec::new();
    for requester in requesters {
        sent.extend(requester.join().map_err(|_| "a requester has panicked")?);
    }
    if let Some(cutting) = cutting {
        cutting
            .join()
            .map_err(|_| "the thread that cuts watches has panicked")?;
    }
    let served = sent
        .iter()
        .filter(|request| request.status == Some(200))
        .count();
    let unserved = sent.iter().filter(|request| request.status != Some(200));
    for request in unserved {
        record.note(&format!(
            "posting {} sent at {:.3} got {:?}: it is lost or its fate is unknown",
            request.id,
            request.sent_at.as_secs_f64(),
            request.status
        ));
    }
    record.note(&format!("sent {}, answered with 200 {served}", sent.len()));
    if served * 2 < sent.len() {
        return Err(String::from("under half of the requests were served"));
    }
    Ok(judge(&left, record))
}

/// Cuts the waiting watches again and again until told to stop.
fn cut_watches(store: &StandStore, stop: &Arc<AtomicBool>) -> JoinHandle<()> {
    let (store, stop) = (store.clone(), Arc::clone(stop));
    thread::spawn(move || {
        while !stop.load(Ordering::SeqCst) {
            store.cut_waiting_watches();
            thread::sleep(CUT_INTERVAL);
        }
    })
}

fn add_replica(store: &StandStore, number: usize, record: &Arc<RunRecord>) -> Arc<StandReplica> {
    let replica = StandReplica::start(&format!("i-{number:08x}"), WORK_TIME, record);
    store.put(
        &format!("servers/{}", replica.id),
        &replica.store_entry(SERVICE, "ready"),
    );
    replica
}

fn judge(left: &[(Arc<StandReplica>, Duration)], record: &RunRecord) -> RuleOutcome {
    let mut late_count = 0;
    for (replica, gone_at) in left {
        let runs = replica.runs();
        let late = runs.iter().filter(|at| **at > *gone_at + DRAIN_TIME);
        let late: Vec<_> = late.collect();
        late_count += late.len();
        let last = runs.iter().map(|at| at.saturating_sub(*gone_at)).max();
        record.note(&format!(
            "replica {}: {} requests later than drainMs after it was gone; the last request {:?} after",
            replica.id,
            late.len(),
            last.unwrap_or_default()
        ));
    }
    match late_count {
        0 => RuleOutcome::Held,
        count => RuleOutcome::Broken(format!("{count} requests later than drainMs")),
    }
}
