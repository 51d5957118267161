//! A target that is marked as leaving gets no new calls after a few seconds, whichever source
//! marked it and whatever fails. The tests keep every entry under load and check the target's own
//! records.

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

/// Time after the first mark from which a leaving target must get no new calls.
const LEAVING_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which the records are watched after that.
const WATCH_TIME: Duration = Duration::from_secs(3);
/// Timeout of waits for conditions that the tests only prepare.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of requests that run at each entry at any time, so that it uses every encoder.
const REQUESTS_PER_ENTRY: usize = 8;
/// Pause between an answer and the next request.
const LOAD_PAUSE: Duration = Duration::from_millis(10);
/// Service time of an encoder, in milliseconds.
const SERVICE_TIME_MS: u64 = 60;
/// Number of encoders of the fleet, named `encode1` and so on.
const ENCODER_COUNT: usize = 5;

/// A fleet under load on every entry.
struct LoadedFleet {
    fleet: FleetHarness,
    /// Present caller address of each host.
    entries: Rc<RefCell<BTreeMap<String, String>>>,
    /// Set when the load is to stop.
    is_ended: Rc<Cell<bool>>,
}

impl LoadedFleet {
    /// Starts a fleet with load and waits until every entry has called every encoder.
    async fn start(plan: FleetPlan) -> Self {
        let fleet = FleetHarness::start(plan).await.unwrap();
        let loaded = Self {
            fleet,
            entries: Rc::default(),
            is_ended: Rc::default(),
        };
        let encoder_names = (1..=ENCODER_COUNT).map(|number| format!("encode{number}"));
        for target in encoder_names.clone() {
            let patch = json!({"delay_ms": SERVICE_TIME_MS});
            loaded.fleet.control_target(&target, &patch).await.unwrap();
        }
        for host in loaded.hosts() {
            for worker in 0..REQUESTS_PER_ENTRY {
                loaded.start_worker(&host, worker);
            }
        }
        for target in encoder_names {
            loaded
                .wait_until_called(&target, now_us(), &loaded.hosts())
                .await;
        }
        loaded
    }

    fn hosts(&self) -> BTreeSet<String> {
        let entries = self.fleet.plan().entries.iter();
        entries.map(|entry| entry.host.clone()).collect()
    }

    /// Starts a task that sends one request after another to an entry until the end of the test,
    /// also after the entry's address has changed.
    fn start_worker(&self, host: &str, worker: usize) {
        let address = self.fleet.caller_address(host);
        self.entries.borrow_mut().insert(host.to_string(), address);
        let (entries, is_ended) = (Rc::clone(&self.entries), Rc::clone(&self.is_ended));
        let host = host.to_string();
        actix_rt::spawn(async move {
            let caller = TestCaller::new();
            let mut number = 0;
            while !is_ended.get() {
                number += 1;
                let entry = entries.borrow()[&host].clone();
                let request =
                    RunRequest::new("farm", "look", format!("{host}-{worker}-{number}"), b"hay");
                caller.run(&entry, &request).await;
                actix_rt::time::sleep(LOAD_PAUSE).await;
            }
        });
    }

    async fn restart_entry(&mut self, host: &str) {
        self.fleet.process_mut(host).kill().unwrap();
        self.fleet.set_entry_seeds(host);
        self.fleet.restart_entry(host).await.unwrap();
        let address = self.fleet.caller_address(host);
        self.entries.borrow_mut().insert(host.to_string(), address);
    }

    /// Returns the hosts whose calls a target started to serve at this time or later.
    async fn calling_hosts(&self, target: &str, since_us: u64) -> BTreeSet<String> {
        let records = self.fleet.call_records(target).await.unwrap();
        let late_records = records
            .iter()
            .filter(|record| record.started_us >= since_us);
        let hosts = late_records.filter_map(|record| record.call.request.split_once('-'));
        hosts.map(|(host, _)| host.to_string()).collect()
    }

    /// Waits until all these hosts have called the target since this time.
    async fn wait_until_called(&self, target: &str, since_us: u64, hosts: &BTreeSet<String>) {
        let description = format!("{target} is called by {hosts:?}");
        let result = wait_until(&description, WAIT_TIMEOUT, async || {
            self.calling_hosts(target, since_us)
                .await
                .is_superset(hosts)
        });
        result.await.unwrap();
    }

    /// Sets the state of a target, `leaving` or `live`, through the operator interface of one
    /// entry.
    async fn set_target_state(&self, host: &str, target: &str, state: &str) {
        let url = format!("{}/targets/{target}/{state}", self.fleet.operator_url(host));
        self.fleet.probe().post(&url, &json!({})).await.unwrap();
    }

    async fn set_platform_mode(&self, mode: PlatformMode) {
        let fault = PlatformFault {
            mode: Some(mode),
            ..PlatformFault::default()
        };
        self.fleet.set_platform_fault(&fault).await.unwrap();
    }

    /// Checks that no entry calls the target once the timeout after its mark has passed. Meanwhile
    /// every entry must go on calling `encode5`, which does not leave, until the watch time is
    /// over.
    async fn check_gets_no_calls(&self, target: &str, marked_us: u64) {
        let from_us = marked_us + micros(LEAVING_TIMEOUT);
        let until_us = from_us.max(now_us()) + micros(WATCH_TIME);
        self.wait_until_called("encode5", until_us, &self.hosts())
            .await;
        let hosts = self.calling_hosts(target, from_us).await;
        assert!(hosts.is_empty(), "{target} got new calls from {hosts:?}");
    }
}

impl Drop for LoadedFleet {
    fn drop(&mut self) {
        self.is_ended.set(true);
    }
}

fn plan(entries: usize) -> FleetPlan {
    let plan = FleetPlan::small(entries);
    (3..=ENCODER_COUNT).fold(plan, |plan, number| {
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

/// Guards against entries that act on one source of a mark only. Four targets are marked by the
/// host list, the sheet, one operator and the target itself.
#[actix_rt::test]
async fn mark_of_any_source_applies_on_every_entry() {
    let mut loaded = LoadedFleet::start(plan(4)).await;
    let listed_us = now_us();
    let fleet = &mut loaded.fleet;
    fleet
        .publish_target_state("encode1", HostState::Leaving)
        .await
        .unwrap();
    let published_us = now_us();
    fleet
        .publish(|rows| {
            let mut targets = rows.target.iter_mut();
            targets.find(|row| row.name == "encode2").unwrap().leaving = true;
        })
        .await
        .unwrap();
    let operator_us = now_us();
    loaded.set_target_state("h2", "encode3", "leaving").await;
    let reported_us = now_us();
    let patch = json!({"leaving": true});
    loaded
        .fleet
        .control_target("encode4", &patch)
        .await
        .unwrap();
    for (target, marked_us) in [
        ("encode1", listed_us),
        ("encode2", published_us),
        ("encode3", operator_us),
        ("encode4", reported_us),
    ] {
        loaded.check_gets_no_calls(target, marked_us).await;
    }
}

/// Guards against a target's own report that stays with the entry that read it: the others are
/// frozen while the target reports that it is leaving, and it reports the opposite before they
/// continue.
#[actix_rt::test]
async fn report_of_a_target_to_one_entry_applies_on_the_others() {
    let loaded = LoadedFleet::start(plan(4)).await;
    let patch = json!({"leaving": true});
    // Only h1 keeps calling the target, so the others can learn of its report through h1 alone.
    for host in ["h2", "h3", "h4"] {
        loaded.fleet.process(host).freeze().unwrap();
    }
    let marked_us = now_us();
    loaded
        .fleet
        .control_target("encode1", &patch)
        .await
        .unwrap();
    loaded
        .fleet
        .wait_for_leaving_targets(&["h1"], &["encode1"], WAIT_TIMEOUT)
        .await
        .unwrap();
    let live_patch = json!({"leaving": false});
    loaded
        .fleet
        .control_target("encode1", &live_patch)
        .await
        .unwrap();
    for host in ["h2", "h3", "h4"] {
        loaded.fleet.process(host).unfreeze().unwrap();
    }
    loaded.check_gets_no_calls("encode1", marked_us).await;
}

/// Guards against a host list from before a mark that delays the mark or revokes it, whether the
/// service serves an old list or the list goes back to its earlier state. Only an operator makes
/// the target live again.
#[actix_rt::test]
async fn stale_host_list_neither_delays_nor_revokes_a_mark() {
    let mut loaded = LoadedFleet::start(plan(4)).await;
    let fleet = &mut loaded.fleet;
    for target in ["encode1", "encode2"] {
        fleet
            .publish_target_state(target, HostState::Live)
            .await
            .unwrap();
    }
    loaded.set_platform_mode(PlatformMode::Stale).await;
    let marked_us = now_us();
    loaded.set_target_state("h3", "encode1", "leaving").await;
    loaded.check_gets_no_calls("encode1", marked_us).await;
    loaded.set_platform_mode(PlatformMode::Ok).await;
    let listed_us = now_us();
    let fleet = &mut loaded.fleet;
    fleet
        .publish_target_state("encode2", HostState::Leaving)
        .await
        .unwrap();
    loaded.check_gets_no_calls("encode2", listed_us).await;
    // The list goes back to the state that it had before the mark.
    let fleet = &mut loaded.fleet;
    fleet
        .publish_target_state("encode2", HostState::Live)
        .await
        .unwrap();
    loaded.check_gets_no_calls("encode2", listed_us).await;
    loaded.check_gets_no_calls("encode1", marked_us).await;
    for (host, target) in [("h1", "encode1"), ("h4", "encode2")] {
        loaded.set_target_state(host, target, "live").await;
        loaded
            .wait_until_called(target, now_us(), &loaded.hosts())
            .await;
    }
}

/// Guards against an entry that has lost the marks by a restart and calls a leaving target until it
/// learns of them, while the service serves an old host list or none. Every entry is restarted in
/// turn, so each mark has to survive in its peers.
#[actix_rt::test]
async fn restarted_entry_never_calls_a_leaving_target() {
    for mode in [PlatformMode::Stale, PlatformMode::Down] {
        let mut loaded = LoadedFleet::start(plan(3)).await;
        loaded.set_platform_mode(mode).await;
        let marked_us = now_us();
        loaded.set_target_state("h1", "encode1", "leaving").await;
        loaded.check_gets_no_calls("encode1", marked_us).await;
        for host in ["h2", "h1", "h3"] {
            loaded.restart_entry(host).await;
            let started_us = now_us();
            loaded
                .wait_until_called("encode5", started_us, &loaded.hosts())
                .await;
            loaded.check_gets_no_calls("encode1", marked_us).await;
        }
    }
}

/// Guards against a mark that is lost by a partition. A mark in the host list must apply on both
/// sides at once; one that an operator sets on one side must reach the isolated entry after the
/// partition.
#[actix_rt::test]
async fn mark_made_during_a_partition_applies_on_both_sides() {
    let mut loaded = LoadedFleet::start(plan(4).proxied()).await;
    loaded.fleet.isolate_host("h4").await.unwrap();
    let listed_us = now_us();
    let fleet = &mut loaded.fleet;
    fleet
        .publish_target_state("encode1", HostState::Leaving)
        .await
        .unwrap();
    let all_hosts = ["h1", "h2", "h3", "h4"];
    let result = loaded
        .fleet
        .wait_for_leaving_targets(&all_hosts, &["encode1"], WAIT_TIMEOUT);
    result.await.unwrap();
    loaded.set_platform_mode(PlatformMode::Down).await;
    let marked_us = now_us();
    loaded.set_target_state("h1", "encode2", "leaving").await;
    loaded.check_gets_no_calls("encode1", listed_us).await;
    let from_us = marked_us + micros(LEAVING_TIMEOUT);
    let isolated_hosts = BTreeSet::from([String::from("h4")]);
    let hosts = loaded.calling_hosts("encode2", from_us).await;
    assert!(hosts.is_subset(&isolated_hosts), "{hosts:?}");
    loaded.fleet.clear_entry_faults().await.unwrap();
    let rejoined_us = now_us();
    loaded.check_gets_no_calls("encode2", rejoined_us).await;
    let hosts = loaded.calling_hosts("encode2", from_us).await;
    assert!(hosts.is_subset(&isolated_hosts), "{hosts:?}");
    loaded.check_gets_no_calls("encode1", listed_us).await;
}
