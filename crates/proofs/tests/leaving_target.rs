//! A leaving target gets no new work once the few seconds are over, whoever said first that it
//! leaves and whatever fails: held against the target's own records, under load on every entry.

use {
    base::HostState,
    proofs::{FleetHarness, FleetPlan, RunRequest, TestCaller, wait_until},
    serde_json::json,
    stand::{PlatformFault, PlatformMode},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, BTreeSet},
        rc::Rc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// Time after the first word from which a leaving target gets no new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);
/// Time for which load is kept up after that.
const WATCH_TIME: Duration = Duration::from_secs(3);
/// Bound on everything that is not the claim itself.
const LIMIT: Duration = Duration::from_secs(30);
/// Requests that are kept running at each entry, so that it uses every encoder.
const LOAD_WIDTH: usize = 8;
/// Pause between an answer and the next request.
const LOAD_PAUSE: Duration = Duration::from_millis(10);
/// Service time of an encoder in milliseconds.
const SERVICE_MS: u64 = 60;
/// Encoders of the fleet, `encode1` and so on.
const ENCODERS: usize = 5;

/// A fleet under load on every entry.
struct LoadedFleet {
    fleet: FleetHarness,
    entries: Rc<RefCell<BTreeMap<String, String>>>,
    ended: Rc<Cell<bool>>,
}

impl LoadedFleet {
    /// Starts a fleet and waits until every entry gives every encoder work.
    async fn start(plan: FleetPlan) -> Self {
        let fleet = FleetHarness::start(plan).await.unwrap();
        let loaded = Self {
            fleet,
            entries: Rc::default(),
            ended: Rc::default(),
        };
        let encoders = (1..=ENCODERS).map(|number| format!("encode{number}"));
        for target in encoders.clone() {
            let slow = json!({"delay_ms": SERVICE_MS});
            loaded.fleet.control_target(&target, &slow).await.unwrap();
        }
        for host in loaded.hosts() {
            for lane in 0..LOAD_WIDTH {
                loaded.load(&host, lane);
            }
        }
        for target in encoders {
            loaded.wait_used(&target, now_us(), &loaded.hosts()).await;
        }
        loaded
    }

    fn hosts(&self) -> BTreeSet<String> {
        let entries = self.fleet.plan().entries.iter();
        entries.map(|entry| entry.host.clone()).collect()
    }

    /// Keeps an entry under load until the end, also where its address changes.
    fn load(&self, host: &str, lane: usize) {
        let address = self.fleet.caller_address(host);
        self.entries.borrow_mut().insert(host.to_string(), address);
        let (entries, ended) = (Rc::clone(&self.entries), Rc::clone(&self.ended));
        let host = host.to_string();
        actix_rt::spawn(async move {
            let caller = TestCaller::new();
            let mut number = 0;
            while !ended.get() {
                number += 1;
                let entry = entries.borrow()[&host].clone();
                let request =
                    RunRequest::new("farm", "look", format!("{host}-{lane}-{number}"), b"hay");
                caller.run(&entry, &request).await;
                actix_rt::time::sleep(LOAD_PAUSE).await;
            }
        });
    }

    async fn restart(&mut self, host: &str) {
        self.fleet.process_mut(host).kill().unwrap();
        self.fleet.set_entry_seeds(host);
        self.fleet.restart_entry(host).await.unwrap();
        let address = self.fleet.caller_address(host);
        self.entries.borrow_mut().insert(host.to_string(), address);
    }

    /// Entries whose calls a target took up at this time or later.
    async fn users(&self, target: &str, since_us: u64) -> BTreeSet<String> {
        let records = self.fleet.call_records(target).await.unwrap();
        let late = records
            .iter()
            .filter(|record| record.started_us >= since_us);
        let hosts = late.filter_map(|record| record.call.request.split_once('-'));
        hosts.map(|(host, _)| host.to_string()).collect()
    }

    async fn wait_used(&self, target: &str, since_us: u64, hosts: &BTreeSet<String>) {
        let what = format!("{target} is used by {hosts:?}");
        let waited = wait_until(&what, LIMIT, async || {
            self.users(target, since_us).await.is_superset(hosts)
        });
        waited.await.unwrap();
    }

    /// Marks a target by the operators' address of one entry.
    async fn operate(&self, host: &str, target: &str, word: &str) {
        let url = format!("{}/targets/{target}/{word}", self.fleet.operator_url(host));
        self.fleet.probe().post(&url, &json!({})).await.unwrap();
    }

    async fn platform(&self, mode: PlatformMode) {
        let fault = PlatformFault {
            mode: Some(mode),
            ..PlatformFault::default()
        };
        self.fleet.set_platform_fault(&fault).await.unwrap();
    }

    /// Holds that no entry gave the target work from the limit on, while every entry goes on
    /// giving work to `encode5`, which stays, for the whole watch.
    async fn check_avoided(&self, target: &str, word_us: u64) {
        let from = word_us + micros(LEAVING_LIMIT);
        let until = from.max(now_us()) + micros(WATCH_TIME);
        self.wait_used("encode5", until, &self.hosts()).await;
        let users = self.users(target, from).await;
        assert!(users.is_empty(), "{target} got new work from {users:?}");
    }
}

impl Drop for LoadedFleet {
    fn drop(&mut self) {
        self.ended.set(true);
    }
}

fn plan(entries: usize) -> FleetPlan {
    let plan = FleetPlan::small(entries);
    (3..=ENCODERS).fold(plan, |plan, number| {
        plan.target(format!("encode{number}"), "encode", 8, &[])
    })
}

fn now_us() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(elapsed.as_micros()).unwrap()
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap()
}

#[actix_rt::test]
async fn word_of_any_source_holds_on_every_entry() {
    let mut loaded = LoadedFleet::start(plan(4)).await;
    let listed = now_us();
    let fleet = &mut loaded.fleet;
    fleet
        .publish_target_state("encode1", HostState::Leaving)
        .await
        .unwrap();
    let sheeted = now_us();
    fleet
        .publish(|rows| {
            let mut targets = rows.target.iter_mut();
            targets.find(|row| row.name == "encode2").unwrap().leaving = true;
        })
        .await
        .unwrap();
    let operated = now_us();
    loaded.operate("h2", "encode3", "leaving").await;
    let own = now_us();
    let patch = json!({"leaving": true});
    loaded
        .fleet
        .control_target("encode4", &patch)
        .await
        .unwrap();
    for (target, word_us) in [
        ("encode1", listed),
        ("encode2", sheeted),
        ("encode3", operated),
        ("encode4", own),
    ] {
        loaded.check_avoided(target, word_us).await;
    }
}

#[actix_rt::test]
async fn own_word_that_one_entry_saw_holds_on_the_others() {
    let loaded = LoadedFleet::start(plan(4)).await;
    let patch = json!({"leaving": true});
    // Only calls of h1 go on; the others meet the target's word through h1 alone.
    for host in ["h2", "h3", "h4"] {
        loaded.fleet.process(host).freeze().unwrap();
    }
    let word = now_us();
    loaded
        .fleet
        .control_target("encode1", &patch)
        .await
        .unwrap();
    loaded
        .fleet
        .wait_for_leaving_targets(&["h1"], &["encode1"], LIMIT)
        .await
        .unwrap();
    let calm = json!({"leaving": false});
    loaded.fleet.control_target("encode1", &calm).await.unwrap();
    for host in ["h2", "h3", "h4"] {
        loaded.fleet.process(host).unfreeze().unwrap();
    }
    loaded.check_avoided("encode1", word).await;
}

#[actix_rt::test]
async fn stale_list_holds_no_word_up_and_takes_none_back() {
    let mut loaded = LoadedFleet::start(plan(4)).await;
    let fleet = &mut loaded.fleet;
    for target in ["encode1", "encode2"] {
        fleet
            .publish_target_state(target, HostState::Live)
            .await
            .unwrap();
    }
    loaded.platform(PlatformMode::Stale).await;
    let word = now_us();
    loaded.operate("h3", "encode1", "leaving").await;
    loaded.check_avoided("encode1", word).await;
    loaded.platform(PlatformMode::Ok).await;
    let listed = now_us();
    let fleet = &mut loaded.fleet;
    fleet
        .publish_target_state("encode2", HostState::Leaving)
        .await
        .unwrap();
    loaded.check_avoided("encode2", listed).await;
    // The list shows what it showed before the mark.
    let fleet = &mut loaded.fleet;
    fleet
        .publish_target_state("encode2", HostState::Live)
        .await
        .unwrap();
    loaded.check_avoided("encode2", listed).await;
    loaded.check_avoided("encode1", word).await;
    for (host, target) in [("h1", "encode1"), ("h4", "encode2")] {
        loaded.operate(host, target, "live").await;
        loaded.wait_used(target, now_us(), &loaded.hosts()).await;
    }
}

#[actix_rt::test]
async fn entry_that_starts_again_never_uses_a_leaving_target() {
    for mode in [PlatformMode::Stale, PlatformMode::Down] {
        let mut loaded = LoadedFleet::start(plan(3)).await;
        loaded.platform(mode).await;
        let word = now_us();
        loaded.operate("h1", "encode1", "leaving").await;
        loaded.check_avoided("encode1", word).await;
        for host in ["h2", "h1", "h3"] {
            loaded.restart(host).await;
            let started = now_us();
            loaded.wait_used("encode5", started, &loaded.hosts()).await;
            loaded.check_avoided("encode1", word).await;
        }
    }
}

#[actix_rt::test]
async fn mark_made_during_a_partition_holds_on_both_sides() {
    let mut loaded = LoadedFleet::start(plan(4).proxied()).await;
    loaded.fleet.isolate_host("h4").await.unwrap();
    let listed = now_us();
    let fleet = &mut loaded.fleet;
    fleet
        .publish_target_state("encode1", HostState::Leaving)
        .await
        .unwrap();
    let everyone = ["h1", "h2", "h3", "h4"];
    let avoided = loaded
        .fleet
        .wait_for_leaving_targets(&everyone, &["encode1"], LIMIT);
    avoided.await.unwrap();
    loaded.platform(PlatformMode::Down).await;
    let word = now_us();
    loaded.operate("h1", "encode2", "leaving").await;
    loaded.check_avoided("encode1", listed).await;
    let from = word + micros(LEAVING_LIMIT);
    let cut_off = BTreeSet::from([String::from("h4")]);
    let users = loaded.users("encode2", from).await;
    assert!(users.is_subset(&cut_off), "{users:?}");
    loaded.fleet.clear_entry_faults().await.unwrap();
    let healed = now_us();
    loaded.check_avoided("encode2", healed).await;
    let users = loaded.users("encode2", from).await;
    assert!(users.is_subset(&cut_off), "{users:?}");
    loaded.check_avoided("encode1", listed).await;
}
