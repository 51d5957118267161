//! Two replicas crash at the same time while they run lookups of one path; both come back.

use {
    crate::{
        RuleOutcome,
        edge_process::{EdgeFleet, EdgeProcess},
        run_record::RunRecord,
        stand_replica::StandReplica,
        stand_store::StandStore,
        test_requester::{RequestKind, SentRequest, send_until},
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
const REPLICA_COUNT: usize = 7;
/// Replicas that crash: no more than 0.3 of the service's.
const CRASH_COUNT: usize = 2;
const EDGE_COUNT: usize = 4;
const FIRST_REQUESTERS: usize = 8;
const LATER_REQUESTERS: usize = 28;
/// Pause of a requester between an answer and its next request.
const PAUSE_TIME: Duration = Duration::from_millis(100);
const WORK_TIME: Duration = Duration::from_millis(400);
/// Three heartbeat intervals, after which the store drops the entry of a silent replica.
const EXPIRY_TIME: Duration = Duration::from_millis(3_600);
/// Time from the return of the replicas until the fleet is in steady state again: `contactMs` and more.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// Time for which the routes are compared then.
const COMPARE_TIME: Duration = Duration::from_secs(30);
/// Number of requests on the later route from which on the rule holds.
const MIN_REQUESTS: usize = 20;

/// Returns a configuration with the first route, and the later one if there is any.
fn config(version: u32, has_later_route: bool) -> String {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!(
            r#"{{"name":"{name}","host":"jepu9.example","prefix":"{prefix}","routeType":"{kind}","timeoutMs":4000,"latencyGoalMs":300,"priority":1,"service":"{SERVICE}","maxAttempts":{attempts},"stages":[],"anonymous":false}}"#
        )
    };
    let mut routes = vec![route("r-post", "/bobo563/", "non_idempotent", 1)];
    if has_later_route {
        routes.push(route("r-view", "/wuhu344/", "idempotent", 2));
    }
    let routes = routes.join(",");
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"{SERVICE}","healthPath":"/health","maxConnections":100}}],"tenants":[{{"name":"bozi300","apiKeys":["key-a"]}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":10000,"idleTimeoutMs":60000}}}}"#
    )
}

/// CONFIG: in steady state a route that was added later is served at least a quarter as often as the first ones.
pub fn crashed_replicas(record: &Arc<RunRecord>, has_trouble: bool) -> Result<RuleOutcome, String> {
    let store = StandStore::start(record);
    store.put("op/config", &config(7, false));
    let mut replicas: Vec<_> = (0..REPLICA_COUNT)
        .map(|number| add_replica(&store, number, record))
        .collect();
    let fleet = EdgeFleet::start(EDGE_COUNT, store.address, record)?;
    let stop = Arc::new(AtomicBool::new(false));
    let start = |count, method, path| {
        let fronts = fleet.edges.iter().map(EdgeProcess::front).cycle();
        let kind = RequestKind {
            method,
            path,
            piece_key: None,
            deadline_ms: 4_000,
            pause: PAUSE_TIME,
        };
        let requesters = fronts.take(count);
        let requesters = requesters.map(|front| send_until(front, kind.clone(), &stop, record));
        requesters.collect::<Vec<_>>()
    };
    let first = start(FIRST_REQUESTERS, "POST", "/bobo563/2f");
    thread::sleep(Duration::from_secs(2));
    store.put("op/config", &config(9, true));
    thread::sleep(Duration::from_secs(4));
    let later = start(LATER_REQUESTERS, "GET", "/wuhu344/2f");
    thread::sleep(Duration::from_secs(5));
    if has_trouble {
        let crashed = take_busy(&mut replicas);
        for replica in &crashed {
            replica.end();
        }
        thread::sleep(EXPIRY_TIME);
        for (position, replica) in crashed.iter().enumerate() {
            store.remove(&format!("servers/{}", replica.id));
            replicas.push(add_replica(&store, REPLICA_COUNT + position, record));
        }
    }
    thread::sleep(SETTLE_TIME);
    let compare_from = record.note("from now on the routes are compared");
    thread::sleep(COMPARE_TIME);
    stop.store(true, Ordering::SeqCst);
    let first = served_share(first, compare_from)?;
    let later = served_share(later, compare_from)?;
    record.note(&format!("first route: {first:?}; later route: {later:?}"));
    if later.sent < MIN_REQUESTS || first.served * 2 < first.sent {
        return Err(String::from("the routes cannot be compared"));
    }
    Ok(match later.share() < first.share() / 4.0 {
        true => RuleOutcome::Broken(format!(
            "{} of {} requests served on the later route, {} of {} on the first",
            later.served, later.sent, first.served, first.sent
        )),
        false => RuleOutcome::Held,
    })
}

/// Waits until enough replicas run lookups, and takes these.
fn take_busy(replicas: &mut Vec<Arc<StandReplica>>) -> Vec<Arc<StandReplica>> {
    loop {
        let busy = replicas.iter().filter(|replica| replica.runs_lookup());
        let busy: Vec<_> = busy.take(CRASH_COUNT).cloned().collect();
        if busy.len() == CRASH_COUNT {
            replicas.retain(|replica| !busy.iter().any(|taken| taken.id == replica.id));
            return busy;
        }
        thread::sleep(Duration::from_millis(1));
    }
}

/// How many of the requests of a route were served.
#[derive(Debug, Clone, Copy)]
struct ServedShare {
    sent: usize,
    served: usize,
}

impl ServedShare {
    fn share(self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

fn served_share(
    requesters: Vec<JoinHandle<Vec<SentRequest>>>,
    from: Duration,
) -> Result<ServedShare, String> {
    let mut share = ServedShare { sent: 0, served: 0 };
    for requester in requesters {
        let sent = requester.join().map_err(|_| "a requester has panicked")?;
        let compared = sent.iter().filter(|request| request.sent_at >= from);
        for request in compared {
            share.sent += 1;
            share.served += usize::from(request.status == Some(200));
        }
    }
    Ok(share)
}

fn add_replica(store: &StandStore, number: usize, record: &Arc<RunRecord>) -> Arc<StandReplica> {
    let replica = StandReplica::start(&format!("i-{number:08x}"), WORK_TIME, record);
    let entry = replica.store_entry(SERVICE, "ready");
    store.put(&format!("servers/{}", replica.id), &entry);
    replica
}
