//! A piece of a request crashes each stage replica that makes it, and the request comes again.

use {
    crate::{
        RuleOutcome,
        edge_process::EdgeFleet,
        run_record::RunRecord,
        stand_replica::{CrashRule, StandReplica},
        stand_stage::StandStage,
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

const MODELS: &str = "scan-models";
const STAGE: &str = "photo-intake";
const STAGE_REPLICAS: usize = 3;
const EDGE_COUNT: usize = 4;
const BYSTANDER_COUNT: usize = 4;
const CRASHING_KEY: &str = "dead07a291bd";
const SOUND_KEY: &str = "7c1e07a291bd";
const CRASH_DELAY: Duration = Duration::from_millis(100);
/// Time after which a replica that has crashed is back.
const RETURN_TIME: Duration = Duration::from_secs(3);
/// Time after which the store drops the entry of a silent replica: three heartbeat intervals.
const EXPIRY_TIME: Duration = Duration::from_millis(3_600);
const RUN_TIME: Duration = Duration::from_secs(40);
const CONTACT_TIME: Duration = Duration::from_millis(3_000);
/// Retries after the third crash that the rule allows.
const MAX_RETRIES: usize = 3;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-read","host":"jepu9.example","prefix":"/puxa400/","routeType":"idempotent","timeoutMs":6000,"latencyGoalMs":1100,"priority":1,"service":"scan-models","maxAttempts":1,"stages":[{"service":"photo-intake","after":[],"bytes":8000}],"anonymous":false}],"services":[{"name":"scan-models","healthPath":"/health","maxConnections":360},{"name":"photo-intake","healthPath":"/health","maxConnections":360,"pieces":{"slots":1,"queue":2,"batch":8,"callMs":200,"itemMs":21,"headroomMb":18,"handleS":4,"linkMbps":10000}}],"tenants":[{"name":"bozi300","apiKeys":["key-a"]}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":10000,"idleTimeoutMs":60000}}"#;

/// BUDGET: a request that has crashed three replicas reaches replicas in at most three retries after `contactMs`.
pub fn crashing_piece(record: &Arc<RunRecord>, has_trouble: bool) -> Result<RuleOutcome, String> {
    let store = StandStore::start(record);
    store.put("op/config", CONFIG);
    let stop = Arc::new(AtomicBool::new(false));
    let service = Arc::new(StageService {
        store: store.clone(),
        rule: Arc::new(CrashRule {
            path: if has_trouble { CRASHING_KEY } else { "" },
            delay: CRASH_DELAY,
            runs: Mutex::default(),
            crashes: Mutex::default(),
        }),
        started: AtomicUsize::new(0),
        record: Arc::clone(record),
    });
    for _ in 0..STAGE_REPLICAS {
        service.keep_replica(&stop);
    }
    for number in 0..3 {
        let model = StandReplica::start(&format!("i-e{number:07x}"), CRASH_DELAY, record);
        let entry = model.store_entry(MODELS, "ready");
        store.put(&format!("servers/{}", model.id), &entry);
    }
    let fleet = EdgeFleet::start(EDGE_COUNT, store.address, record)?;
    let kind = |path, key, pause| RequestKind {
        method: "POST",
        path,
        piece_key: Some(key),
        deadline_ms: 6_000,
        pause,
    };
    let sound = kind("/puxa400/2f", SOUND_KEY, Duration::from_millis(500));
    let bystanders = (0..BYSTANDER_COUNT).map(|number| {
        let front = fleet.edges[number % EDGE_COUNT].front();
        send_until(front, sound.clone(), &stop, record)
    });
    let bystanders: Vec<_> = bystanders.collect();
    thread::sleep(Duration::from_secs(3));
    let crashing = kind("/puxa400/3a", CRASHING_KEY, Duration::from_secs(2));
    let repeater = send_until(fleet.edges[0].front(), crashing, &stop, record);
    thread::sleep(RUN_TIME);
    stop.store(true, Ordering::SeqCst);
    let (mut sent, mut served) = (0, 0);
    for bystander in bystanders {
        let requests = bystander.join().map_err(|_| "a requester has panicked")?;
        sent += requests.len();
        served += requests
            .iter()
            .filter(|request| request.status == Some(200))
            .count();
    }
    let repeats = repeater.join().map_err(|_| "a requester has panicked")?;
    record.note(&format!(
        "sound requests: {served} of {sent} served; the other one was sent {} times",
        repeats.len()
    ));
    if served == 0 {
        return Err(String::from("no sound request was served"));
    }
    Ok(service.judge())
}

/// Stage replicas that come back under another id after a crash.
struct StageService {
    store: StandStore,
    rule: Arc<CrashRule>,
    started: AtomicUsize,
    record: Arc<RunRecord>,
}

impl StageService {
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

    fn start_replica(&self) -> Arc<StandStage> {
        let number = self.started.fetch_add(1, Ordering::SeqCst);
        let replica = StandStage::start(&format!("i-{number:08x}"), &self.rule, &self.record);
        let entry = replica.store_entry(STAGE);
        self.store.put(&format!("servers/{}", replica.id), &entry);
        replica
    }

    fn judge(&self) -> RuleOutcome {
        let runs = self.rule.runs.lock().expect("the runs").clone();
        let mut crashes = self.rule.crashes.lock().expect("the crashes").clone();
        crashes.sort();
        self.record.note(&format!("crashes at {crashes:?}"));
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
}
