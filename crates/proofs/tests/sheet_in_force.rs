//! A published sheet is in force on every entry within seconds, and no entry reverts to an older
//! one, even if the configuration service serves old or conflicting sheets and entries restart.

use {
    base::{FailureReason, RunVerdict, SheetVersion},
    proofs::{FleetHarness, FleetPlan, RunRequest, TestCaller, wait_until},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    sheet::{FleetSheet, SheetIndex, SheetPart},
    stand::{DirectionFault, PlatformFault, PlatformMode, ProxyFault, SheetPublisher},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, BTreeSet},
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Maximum time until a published sheet is in force on every reachable entry.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of waits for conditions that the tests only prepare.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two polls of an entry.
const POLL_PAUSE: Duration = Duration::from_millis(20);
/// Number of answers of each entry during which none may revert.
const STABLE_POLLS: usize = 200;
/// Number of rounds in which a sheet is published.
const PUBLISH_ROUNDS: usize = 6;
const SEED: u64 = 7;

/// A fleet whose entries are polled all the time. It records every entry that answers under a lower
/// version than before, or replaces the sheet in force by another one of the same version.
struct WatchedFleet {
    fleet: FleetHarness,
    /// Present caller address of each host.
    entries: Rc<RefCell<BTreeMap<String, String>>>,
    /// Highest version under which each host has answered.
    highest_versions: Rc<RefCell<BTreeMap<String, SheetVersion>>>,
    /// Number of answers of each host.
    poll_counts: Rc<RefCell<BTreeMap<String, usize>>>,
    /// Descriptions of the faults found; empty if there are none.
    violations: Rc<RefCell<BTreeSet<String>>>,
    /// Set when polling is to stop.
    is_ended: Rc<Cell<bool>>,
}

impl WatchedFleet {
    async fn start(plan: FleetPlan) -> Self {
        let watched = Self {
            fleet: FleetHarness::start(plan).await.unwrap(),
            entries: Rc::default(),
            highest_versions: Rc::default(),
            poll_counts: Rc::default(),
            violations: Rc::default(),
            is_ended: Rc::default(),
        };
        for host in watched.hosts() {
            watched.watch_entry(&host);
        }
        watched
    }

    fn hosts(&self) -> Vec<String> {
        let entries = self.fleet.plan().entries.iter();
        entries.map(|entry| entry.host.clone()).collect()
    }

    /// Starts tasks that poll the versions and digests of an entry.
    fn watch_entry(&self, host: &str) {
        let address = self.fleet.caller_address(host);
        self.entries.borrow_mut().insert(host.to_string(), address);
        self.watch_digests(host);
        let (entries, highest_versions) =
            (Rc::clone(&self.entries), Rc::clone(&self.highest_versions));
        let (poll_counts, violations) = (Rc::clone(&self.poll_counts), Rc::clone(&self.violations));
        let (is_ended, host) = (Rc::clone(&self.is_ended), host.to_string());
        actix_rt::spawn(async move {
            let caller = TestCaller::new();
            while !is_ended.get() {
                let entry = entries.borrow()[&host].clone();
                if let Ok(answer) = caller.fetch_addresses(&entry, "farm").await {
                    let version = answer.sheet_version;
                    let mut highest_versions = highest_versions.borrow_mut();
                    let before = highest_versions.entry(host.clone()).or_default();
                    if version < *before {
                        let line = format!("{host} answered under {version} after {before}");
                        violations.borrow_mut().insert(line);
                    }
                    *before = version.max(*before);
                    *poll_counts.borrow_mut().entry(host.clone()).or_default() += 1;
                }
                actix_rt::time::sleep(POLL_PAUSE).await;
            }
        });
    }

    /// Starts a task that polls the digest of the sheet in force until the process no longer
    /// answers.
    fn watch_digests(&self, host: &str) {
        let url = format!("{}/status", self.fleet.operator_url(host));
        let (probe, violations) = (self.fleet.probe().clone(), Rc::clone(&self.violations));
        let (is_ended, host) = (Rc::clone(&self.is_ended), host.to_string());
        actix_rt::spawn(async move {
            let mut first_digests = BTreeMap::new();
            while !is_ended.get() {
                let Ok(status) = probe.get::<serde_json::Value>(&url).await else {
                    return;
                };
                let digest = status["sheet_digest"].to_string();
                let version = status["sheet_version"].as_u64().unwrap_or_default();
                let first_digest = first_digests
                    .entry(version)
                    .or_insert_with(|| digest.clone());
                if version > 0 && *first_digest != digest {
                    let line =
                        format!("{host} replaced the sheet of version {version} by another one");
                    violations.borrow_mut().insert(line);
                }
                actix_rt::time::sleep(POLL_PAUSE).await;
            }
        });
    }

    /// Waits until every entry has this version or a later one in force; returns the time it took.
    async fn wait_for_version(&self, version: SheetVersion) -> Duration {
        let start = Instant::now();
        let description = format!("sheet {version} is in force on every entry");
        let result = wait_until(&description, IN_FORCE_TIMEOUT, async || {
            let highest_versions = self.highest_versions.borrow();
            let version_of = |host| highest_versions.get(host).copied().unwrap_or_default();
            self.hosts().iter().all(|host| version_of(host) >= version)
        });
        result.await.unwrap();
        start.elapsed()
    }

    /// Checks that no entry has reverted, after each has answered a number of further polls.
    async fn check_no_reversion(&self) {
        let counts_before = self.poll_counts.borrow().clone();
        let result = wait_until(
            "every entry has answered enough polls",
            WAIT_TIMEOUT,
            async || {
                let poll_counts = self.poll_counts.borrow();
                let new_polls =
                    |host| poll_counts[host] - counts_before.get(host).copied().unwrap_or_default();
                self.hosts()
                    .iter()
                    .all(|host| new_polls(host) >= STABLE_POLLS)
            },
        );
        result.await.unwrap();
        assert_eq!(*self.violations.borrow(), BTreeSet::new());
    }

    /// Makes the service serve an old version number again, with the present rows.
    async fn serve_old_version(&self, version: SheetVersion) {
        publish_rows(&self.fleet, version, self.fleet.published_rows()).await;
    }

    async fn set_platform_mode(&self, mode: PlatformMode) {
        let fault = PlatformFault {
            mode: Some(mode),
            ..PlatformFault::default()
        };
        self.fleet.set_platform_fault(&fault).await.unwrap();
    }

    /// Cuts an entry off from the platform, or reconnects it.
    async fn set_platform_cut(&self, host: &str, cut: bool) {
        let fault = ProxyFault {
            cut,
            ..ProxyFault::default()
        };
        let name = format!("{host}-platform");
        self.fleet.set_proxy_fault(&name, &fault).await.unwrap();
    }

    /// Kills an entry and restarts it with its peers' addresses as seeds.
    async fn restart_entry(&mut self, host: &str) {
        self.fleet.process_mut(host).kill().unwrap();
        self.fleet.set_entry_seeds(host);
        self.fleet.restart_entry(host).await.unwrap();
        let address = self.fleet.caller_address(host);
        self.entries.borrow_mut().insert(host.to_string(), address);
        self.watch_digests(host);
    }

    async fn fetch_status(&self, host: &str) -> serde_json::Value {
        let url = format!("{}/status", self.fleet.operator_url(host));
        self.fleet.probe().get(&url).await.unwrap()
    }

    async fn fetch_digest(&self, host: &str) -> String {
        let status = self.fetch_status(host).await;
        status["sheet_digest"].as_str().unwrap().to_string()
    }

    /// Waits until a counter of every entry is above zero.
    async fn wait_for_counter(&self, counter: &str) {
        for host in self.hosts() {
            let description = format!("{host} has counted {counter}");
            let result = wait_until(&description, WAIT_TIMEOUT, async || {
                self.fetch_status(&host).await["counters"][counter].as_i64() > Some(0)
            });
            result.await.unwrap();
        }
    }
}

impl Drop for WatchedFleet {
    fn drop(&mut self) {
        self.is_ended.set(true);
    }
}

/// Publishes rows under any version, past the harness's own count; returns the index.
async fn publish_rows(fleet: &FleetHarness, version: SheetVersion, rows: &SheetPart) -> SheetIndex {
    let parts = SheetPublisher::split_parts(rows).unwrap();
    let result = fleet.publisher().publish(version, &parts).await;
    result.unwrap()
}

/// Returns the rows with this weight of the first customer.
fn rows_with_weight(rows: &SheetPart, weight: u32) -> SheetPart {
    let mut rows = rows.clone();
    rows.customer[0].weight = weight;
    rows
}

fn look_request(id: &str) -> RunRequest {
    RunRequest::new("farm", "look", id, b"hay")
}

/// Guards against a sheet that spreads too slowly or not to all entries after it is published.
#[actix_rt::test]
async fn sheet_is_in_force_everywhere_within_seconds() {
    let mut watched = WatchedFleet::start(FleetPlan::small(8)).await;
    let mut generator = ChaCha8Rng::seed_from_u64(SEED);
    let mut durations = Vec::new();
    for _ in 0..PUBLISH_ROUNDS {
        let weight = generator.random_range(1..100);
        let published = Instant::now();
        let change = |rows: &mut SheetPart| rows.customer[0].weight = weight;
        let version = watched.fleet.publish(change).await.unwrap();
        watched.wait_for_version(version).await;
        durations.push(published.elapsed());
    }
    println!("times from publishing to in force on 8 entries: {durations:?}");
    assert!(
        durations
            .iter()
            .all(|duration| *duration <= IN_FORCE_TIMEOUT)
    );
    watched.check_no_reversion().await;
}

/// Guards against entries that revert when the service serves an old version again: running ones, a
/// restarted one and a new one, which must get the later sheet from their peers.
#[actix_rt::test]
async fn stale_service_reverts_no_entry() {
    let mut watched = WatchedFleet::start(FleetPlan::small(4)).await;
    watched.fleet.publish(|_| {}).await.unwrap();
    let version = watched.fleet.publish(|_| {}).await.unwrap();
    watched.wait_for_version(version).await;
    watched.serve_old_version(1).await;
    watched.wait_for_counter("sheets.reported").await;
    watched.restart_entry("h2").await;
    watched.wait_for_version(version).await;
    watched.fleet.replace_entry("h3", "h9").await.unwrap();
    watched.watch_entry("h9");
    watched.wait_for_version(version).await;
    watched.check_no_reversion().await;
    let next = watched.fleet.publish(|_| {}).await.unwrap();
    watched.wait_for_version(next).await;
}

/// Guards against an isolated entry with an old sheet that reverts the others after the partition,
/// or never gets the later sheet, while the service serves the old one again.
#[actix_rt::test]
async fn entry_gets_the_later_sheet_after_a_partition() {
    let plan = FleetPlan::small(4).proxied().platform_proxied();
    let mut watched = WatchedFleet::start(plan).await;
    watched.fleet.isolate_host("h4").await.unwrap();
    watched.set_platform_cut("h4", true).await;
    let version = watched.fleet.publish(|_| {}).await.unwrap();
    for host in ["h1", "h2", "h3"] {
        let result = watched
            .fleet
            .wait_for_sheet(host, version, IN_FORCE_TIMEOUT);
        result.await.unwrap();
    }
    watched.serve_old_version(1).await;
    watched.set_platform_cut("h4", false).await;
    watched.check_no_reversion().await;
    assert_eq!(watched.fetch_status("h4").await["sheet_version"], 1);
    let outcome = TestCaller::new()
        .run(
            &watched.fleet.caller_address("h4"),
            &look_request("cut-off"),
        )
        .await;
    assert!(
        outcome.complete_answer().is_some(),
        "the isolated entry must serve callers: {outcome:?}"
    );
    watched.fleet.clear_entry_faults().await.unwrap();
    watched.wait_for_version(version).await;
    watched.check_no_reversion().await;
}

/// Guards against an entry that fetches a new sheet only from the peer that announced it: that peer
/// can't be reached for the fetch, while another one that has the sheet can.
#[actix_rt::test]
async fn sheet_is_fetched_from_any_peer_that_has_it() {
    let plan = FleetPlan::small(3).proxied().platform_proxied();
    let mut watched = WatchedFleet::start(plan).await;
    let before = watched.fleet.publish(|_| {}).await.unwrap();
    watched.wait_for_version(before).await;
    watched.set_platform_cut("h3", true).await;
    let h2 = watched.fleet.process("h2").address("peers");
    let no_datagrams_from_h2 = ProxyFault {
        cut_sources: vec![h2.parse().unwrap()],
        ..ProxyFault::default()
    };
    watched
        .fleet
        .set_proxy_fault("h3", &no_datagrams_from_h2)
        .await
        .unwrap();
    // h3 receives datagrams from h1, which also name h2, but can fetch nothing from either.
    let half_closed = DirectionFault {
        half_close: true,
        ..DirectionFault::default()
    };
    let fault = ProxyFault {
        to: half_closed.clone(),
        from: half_closed,
        ..ProxyFault::default()
    };
    for host in ["h1", "h2"] {
        watched.fleet.set_proxy_fault(host, &fault).await.unwrap();
    }
    let version = watched.fleet.publish(|_| {}).await.unwrap();
    let result = wait_until("h3 learns of the sheet from h1", WAIT_TIMEOUT, async || {
        watched.fetch_status("h3").await["latest_version"].as_u64() >= Some(version)
    });
    result.await.unwrap();
    assert_eq!(watched.fetch_status("h3").await["sheet_version"], before);
    let no_fault = ProxyFault::default();
    for host in ["h2", "h3"] {
        watched
            .fleet
            .set_proxy_fault(host, &no_fault)
            .await
            .unwrap();
    }
    watched.wait_for_version(version).await;
    watched.check_no_reversion().await;
}

/// Guards against an entry that runs requests without a sheet or never gets one when it starts
/// while the service is down. It must get the sheet from its peers, or refuse requests until the
/// service is back if it has none.
#[actix_rt::test]
async fn entry_started_in_an_outage_gets_the_sheet_or_runs_nothing() {
    let mut watched = WatchedFleet::start(FleetPlan::small(3)).await;
    let version = watched.fleet.publish(|_| {}).await.unwrap();
    watched.wait_for_version(version).await;
    watched.set_platform_mode(PlatformMode::Down).await;
    watched.restart_entry("h1").await;
    let result = watched
        .fleet
        .wait_for_sheet("h1", version, IN_FORCE_TIMEOUT);
    result.await.unwrap();
    for host in ["h2", "h3"] {
        watched.fleet.process_mut(host).kill().unwrap();
    }
    watched.restart_entry("h1").await;
    let entry = watched.fleet.caller_address("h1");
    for number in 0..20 {
        let request = look_request(&format!("no-sheet-{number}"));
        let outcome = TestCaller::new().run(&entry, &request).await;
        let report = outcome.failure().unwrap();
        assert_eq!(report.reason, FailureReason::NoSheet);
        assert_eq!(report.verdict, RunVerdict::NotRun);
        actix_rt::time::sleep(POLL_PAUSE).await;
    }
    watched.set_platform_mode(PlatformMode::Ok).await;
    let result = watched
        .fleet
        .wait_for_sheet("h1", version, IN_FORCE_TIMEOUT);
    result.await.unwrap();
    assert_eq!(*watched.violations.borrow(), BTreeSet::new());
}

/// Restarts every entry while the service serves an old sheet, and checks that each stops serving
/// under it once a caller sends the proof of a later one.
async fn check_proof_blocks_old_sheet(entries: usize) {
    let mut fleet = FleetHarness::start(FleetPlan::small(entries))
        .await
        .unwrap();
    let version = fleet.publish(|_| {}).await.unwrap();
    let caller = TestCaller::new();
    let hosts: Vec<String> = (1..=entries).map(|number| format!("h{number}")).collect();
    for host in &hosts {
        fleet
            .wait_for_sheet(host, version, WAIT_TIMEOUT)
            .await
            .unwrap();
    }
    let answer = caller
        .fetch_addresses(&fleet.caller_address("h1"), "farm")
        .await;
    let proof = answer.unwrap().sheet_proof;
    for host in &hosts {
        fleet.process_mut(host).kill().unwrap();
    }
    publish_rows(&fleet, 1, &rows_with_weight(fleet.published_rows(), 50)).await;
    for host in &hosts {
        fleet.restart_entry(host).await.unwrap();
    }
    for host in &hosts {
        fleet.wait_for_sheet(host, 1, WAIT_TIMEOUT).await.unwrap();
    }
    for host in &hosts {
        let entry = fleet.caller_address(host);
        let mut request = look_request(&format!("{host}-proved"));
        request.sheet_proof = Some(proof.clone());
        let outcome = caller.run(&entry, &request).await;
        assert!(outcome.is_not_run(), "{outcome:?}");
        wait_until(
            "the entry no longer answers under the old sheet",
            WAIT_TIMEOUT,
            async || caller.fetch_addresses(&entry, "farm").await.is_err(),
        )
        .await
        .unwrap();
        for number in 0..20 {
            let request = look_request(&format!("{host}-held-{number}"));
            let outcome = caller.run(&entry, &request).await;
            assert!(outcome.is_not_run(), "{outcome:?}");
        }
    }
    for target in ["encode1", "encode2"] {
        assert_eq!(fleet.call_records(target).await.unwrap(), []);
    }
    publish_rows(&fleet, version, fleet.published_rows()).await;
    for host in &hosts {
        let result = fleet.wait_for_sheet(host, version, IN_FORCE_TIMEOUT);
        result.await.unwrap();
    }
}

/// Guards against a restarted entry that runs requests under an old sheet of a stale service
/// although its caller has proof of a later one; there is no peer that has the later sheet.
#[actix_rt::test]
async fn proof_of_a_caller_blocks_an_old_sheet_at_a_lone_entry() {
    check_proof_blocks_old_sheet(1).await;
}

/// Guards against the same failure when all entries are restarted and agree on the old sheet: their
/// number must not outweigh the proof.
#[actix_rt::test]
async fn proof_of_a_caller_blocks_an_old_sheet_in_a_restarted_fleet() {
    check_proof_blocks_old_sheet(2).await;
}

/// Guards against entries that replace the sheet in force by another one that was published under
/// the same version, or keep their sheet without a report.
#[actix_rt::test]
async fn other_content_under_the_version_in_force_is_refused_and_reported() {
    let mut watched = WatchedFleet::start(FleetPlan::small(4)).await;
    let version = watched.fleet.publish(|_| {}).await.unwrap();
    watched.wait_for_version(version).await;
    let digest_in_force = watched.fetch_digest("h1").await;
    let other = publish_rows(
        &watched.fleet,
        version,
        &rows_with_weight(watched.fleet.published_rows(), 50),
    )
    .await;
    assert_ne!(other.digest(), digest_in_force);
    watched.wait_for_counter("sheets.reported").await;
    watched.check_no_reversion().await;
    for host in watched.hosts() {
        assert_eq!(watched.fetch_digest(&host).await, digest_in_force);
        let log = watched.fleet.log_text(&host);
        assert!(log.contains(&format!("another sheet {version}")), "{log}");
    }
    let next = watched.fleet.publish(|_| {}).await.unwrap();
    watched.wait_for_version(next).await;
}

/// Guards against entries that switch between two sheets when two operators publish under one
/// version at nearly the same time. Each entry must keep the sheet that it adopted first, and the
/// next version must make all equal.
#[actix_rt::test]
async fn next_version_resolves_two_sheets_of_one_version() {
    let mut watched = WatchedFleet::start(FleetPlan::small(4)).await;
    let mut generator = ChaCha8Rng::seed_from_u64(SEED);
    for round in 0..PUBLISH_ROUNDS {
        let version = watched.fleet.take_version();
        let rows = watched.fleet.published_rows();
        let (first_rows, second_rows) = (rows_with_weight(rows, 50), rows_with_weight(rows, 60));
        let gap = Duration::from_millis(generator.random_range(0..400));
        let late_publish = async {
            actix_rt::time::sleep(gap).await;
            publish_rows(&watched.fleet, version, &second_rows).await
        };
        let (first, second) = tokio::join!(
            publish_rows(&watched.fleet, version, &first_rows),
            late_publish
        );
        let published_digests = BTreeSet::from([first.digest(), second.digest()]);
        let mut first_digests = BTreeMap::new();
        for _ in 0..2 {
            watched.check_no_reversion().await;
            for host in watched.hosts() {
                if watched.fetch_status(&host).await["sheet_version"].as_u64() != Some(version) {
                    continue;
                }
                let digest = watched.fetch_digest(&host).await;
                assert!(
                    published_digests.contains(&digest),
                    "digest of neither published sheet"
                );
                let first_digest = first_digests.entry(host).or_insert_with(|| digest.clone());
                assert_eq!(*first_digest, digest, "an entry must keep its first sheet");
            }
        }
        println!("round {round}, gap {gap:?}: {first_digests:?}");
        let next = watched.fleet.publish(|_| {}).await.unwrap();
        watched.wait_for_version(next).await;
        let mut digests = BTreeSet::new();
        for host in watched.hosts() {
            digests.insert(watched.fetch_digest(&host).await);
        }
        assert_eq!(
            digests.len(),
            1,
            "the next version must be the same on every entry"
        );
    }
}

/// Guards against entries that replace their sheet by another one of the same version when a
/// partition ends in whose two parts different sheets were adopted.
#[actix_rt::test]
async fn sheets_of_one_version_on_both_sides_of_a_partition_stay_until_the_next() {
    let plan = FleetPlan::small(4).proxied().platform_proxied();
    let mut watched = WatchedFleet::start(plan).await;
    let version = watched.fleet.take_version();
    watched.fleet.isolate_host("h4").await.unwrap();
    watched.set_platform_cut("h4", true).await;
    let rows = watched.fleet.published_rows();
    let first = publish_rows(&watched.fleet, version, &rows_with_weight(rows, 50)).await;
    for host in ["h1", "h2", "h3"] {
        let result = watched
            .fleet
            .wait_for_sheet(host, version, IN_FORCE_TIMEOUT);
        result.await.unwrap();
    }
    let second = publish_rows(&watched.fleet, version, &rows_with_weight(rows, 60)).await;
    watched.set_platform_cut("h4", false).await;
    watched.wait_for_version(version).await;
    watched.fleet.clear_entry_faults().await.unwrap();
    watched.wait_for_counter("sheets.reported").await;
    watched.check_no_reversion().await;
    for host in ["h1", "h2", "h3"] {
        assert_eq!(watched.fetch_digest(host).await, first.digest());
    }
    assert_eq!(watched.fetch_digest("h4").await, second.digest());
    let next = watched.fleet.publish(|_| {}).await.unwrap();
    watched.wait_for_version(next).await;
    let next_digest = watched.fetch_digest("h1").await;
    assert_eq!(watched.fetch_digest("h4").await, next_digest);
}

/// Guards against an invalid sheet that is put in force in part, replaces the valid one, or is
/// refused with only some of its errors in the log.
#[actix_rt::test]
async fn invalid_sheet_is_refused_with_every_error() {
    let mut watched = WatchedFleet::start(FleetPlan::small(4)).await;
    let before = watched.fetch_digest("h1").await;
    let version = watched.fleet.take_version();
    let mut rows = watched.fleet.published_rows().clone();
    rows.target[0].capacity = 0;
    rows.target[1].pool = String::from("nowhere");
    rows.pipeline[0].stage.clear();
    rows.customer.push(rows.customer[0].clone());
    let parts = SheetPublisher::split_parts(&rows).unwrap();
    let index = watched.fleet.publisher().publish(version, &parts).await;
    let errors = FleetSheet::assemble(index.unwrap(), &parts).unwrap_err();
    assert!(errors.len() >= 4, "{errors:?}");
    watched.wait_for_counter("sheets.refused").await;
    for host in watched.hosts() {
        let log = watched.fleet.log_text(&host);
        for error in &errors {
            let text = serde_json::to_string(&error.to_string()).unwrap();
            assert!(log.contains(text.trim_matches('"')), "{host}: {error}");
        }
        assert_eq!(watched.fetch_digest(&host).await, before);
    }
    watched.check_no_reversion().await;
    let next = watched.fleet.publish(|_| {}).await.unwrap();
    watched.wait_for_version(next).await;
}
