//! A sheet that was published is in force on every entry within seconds and is never taken back,
//! whatever the configuration service serves and whoever starts again.

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

/// Time in which a published sheet must be in force on every entry that can be reached.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);
/// Bound on everything that is not the claim itself.
const LIMIT: Duration = Duration::from_secs(30);
/// Pause between two looks at the versions in force.
const LOOK_PAUSE: Duration = Duration::from_millis(20);
/// Looks at each entry during which nothing may change.
const CALM_LOOKS: usize = 200;
/// Sheets that are published one after another.
const PUBLISHES: usize = 6;
const SEED: u64 = 7;

/// A fleet whose entries are looked at all the time: none may answer under a lower version than
/// it answered under before, or change the sheet that it has in force under one version.
struct WatchedFleet {
    fleet: FleetHarness,
    entries: Rc<RefCell<BTreeMap<String, String>>>,
    highest: Rc<RefCell<BTreeMap<String, SheetVersion>>>,
    looks: Rc<RefCell<BTreeMap<String, usize>>>,
    reverted: Rc<RefCell<BTreeSet<String>>>,
    ended: Rc<Cell<bool>>,
}

impl WatchedFleet {
    async fn start(plan: FleetPlan) -> Self {
        let watched = Self {
            fleet: FleetHarness::start(plan).await.unwrap(),
            entries: Rc::default(),
            highest: Rc::default(),
            looks: Rc::default(),
            reverted: Rc::default(),
            ended: Rc::default(),
        };
        for host in watched.hosts() {
            watched.look_at(&host);
        }
        watched
    }

    fn hosts(&self) -> Vec<String> {
        let entries = self.fleet.plan().entries.iter();
        entries.map(|entry| entry.host.clone()).collect()
    }

    fn look_at(&self, host: &str) {
        let address = self.fleet.caller_address(host);
        self.entries.borrow_mut().insert(host.to_string(), address);
        self.look_at_digests(host);
        let (entries, highest) = (Rc::clone(&self.entries), Rc::clone(&self.highest));
        let (looks, reverted) = (Rc::clone(&self.looks), Rc::clone(&self.reverted));
        let (ended, host) = (Rc::clone(&self.ended), host.to_string());
        actix_rt::spawn(async move {
            let caller = TestCaller::new();
            while !ended.get() {
                let entry = entries.borrow()[&host].clone();
                if let Ok(answer) = caller.fetch_addresses(&entry, "farm").await {
                    let version = answer.sheet_version;
                    let mut highest = highest.borrow_mut();
                    let before = highest.entry(host.clone()).or_default();
                    if version < *before {
                        let line = format!("{host} answered under {version} after {before}");
                        reverted.borrow_mut().insert(line);
                    }
                    *before = version.max(*before);
                    *looks.borrow_mut().entry(host.clone()).or_default() += 1;
                }
                actix_rt::time::sleep(LOOK_PAUSE).await;
            }
        });
    }

    /// Looks at what a process has in force until it ends.
    fn look_at_digests(&self, host: &str) {
        let url = format!("{}/status", self.fleet.operator_url(host));
        let (probe, reverted) = (self.fleet.probe().clone(), Rc::clone(&self.reverted));
        let (ended, host) = (Rc::clone(&self.ended), host.to_string());
        actix_rt::spawn(async move {
            let mut kept = BTreeMap::new();
            while !ended.get() {
                let Ok(status) = probe.get::<serde_json::Value>(&url).await else {
                    return;
                };
                let digest = status["sheet_digest"].to_string();
                let version = status["sheet_version"].as_u64().unwrap_or_default();
                let first = kept.entry(version).or_insert_with(|| digest.clone());
                if version > 0 && *first != digest {
                    let line = format!("{host} took other content under {version}");
                    reverted.borrow_mut().insert(line);
                }
                actix_rt::time::sleep(LOOK_PAUSE).await;
            }
        });
    }

    /// Waits until every entry has this version in force; gives the time it took.
    async fn wait_version(&self, version: SheetVersion) -> Duration {
        let began = Instant::now();
        let what = format!("sheet {version} is in force everywhere");
        let waited = wait_until(&what, IN_FORCE_LIMIT, async || {
            let highest = self.highest.borrow();
            let version_of = |host| highest.get(host).copied().unwrap_or_default();
            self.hosts().iter().all(|host| version_of(host) >= version)
        });
        waited.await.unwrap();
        began.elapsed()
    }

    /// Holds that no entry goes back while each is looked at for a good while.
    async fn check_calm(&self) {
        let before = self.looks.borrow().clone();
        let waited = wait_until("every entry answers", LIMIT, async || {
            let looks = self.looks.borrow();
            let seen = |host| looks[host] - before.get(host).copied().unwrap_or_default();
            self.hosts().iter().all(|host| seen(host) >= CALM_LOOKS)
        });
        waited.await.unwrap();
        assert_eq!(*self.reverted.borrow(), BTreeSet::new());
    }

    /// Lets the service serve a version again that it served before, with the present rows.
    async fn serve_old(&self, version: SheetVersion) {
        publish(&self.fleet, version, self.fleet.published_rows()).await;
    }

    async fn platform(&self, mode: PlatformMode) {
        let fault = PlatformFault {
            mode: Some(mode),
            ..PlatformFault::default()
        };
        self.fleet.set_platform_fault(&fault).await.unwrap();
    }

    /// Cuts an entry off from the platform, or ends that.
    async fn cut_platform(&self, host: &str, cut: bool) {
        let fault = ProxyFault {
            cut,
            ..ProxyFault::default()
        };
        let name = format!("{host}-platform");
        self.fleet.set_proxy_fault(&name, &fault).await.unwrap();
    }

    async fn restart(&mut self, host: &str) {
        self.fleet.process_mut(host).kill().unwrap();
        self.fleet.set_entry_seeds(host);
        self.fleet.restart_entry(host).await.unwrap();
        let address = self.fleet.caller_address(host);
        self.entries.borrow_mut().insert(host.to_string(), address);
        self.look_at_digests(host);
    }

    async fn status(&self, host: &str) -> serde_json::Value {
        let url = format!("{}/status", self.fleet.operator_url(host));
        self.fleet.probe().get(&url).await.unwrap()
    }

    async fn digest(&self, host: &str) -> String {
        let status = self.status(host).await;
        status["sheet_digest"].as_str().unwrap().to_string()
    }

    /// Waits until a counter of every entry is above zero.
    async fn wait_counted(&self, counter: &str) {
        for host in self.hosts() {
            let what = format!("{host} counts {counter}");
            let waited = wait_until(&what, LIMIT, async || {
                self.status(&host).await["counters"][counter].as_i64() > Some(0)
            });
            waited.await.unwrap();
        }
    }
}

impl Drop for WatchedFleet {
    fn drop(&mut self) {
        self.ended.set(true);
    }
}

async fn publish(fleet: &FleetHarness, version: SheetVersion, rows: &SheetPart) -> SheetIndex {
    let parts = SheetPublisher::split_parts(rows).unwrap();
    let published = fleet.publisher().publish(version, &parts).await;
    published.unwrap()
}

/// The rows with another weight of the first customer.
fn other_rows(rows: &SheetPart, weight: u32) -> SheetPart {
    let mut rows = rows.clone();
    rows.customer[0].weight = weight;
    rows
}

fn look_request(id: &str) -> RunRequest {
    RunRequest::new("farm", "look", id, b"hay")
}

#[actix_rt::test]
async fn sheet_is_in_force_everywhere_within_seconds() {
    let mut watched = WatchedFleet::start(FleetPlan::small(8)).await;
    let mut generator = ChaCha8Rng::seed_from_u64(SEED);
    let mut times = Vec::new();
    for _ in 0..PUBLISHES {
        let weight = generator.random_range(1..100);
        let published = Instant::now();
        let change = |rows: &mut SheetPart| rows.customer[0].weight = weight;
        let version = watched.fleet.publish(change).await.unwrap();
        watched.wait_version(version).await;
        times.push(published.elapsed());
    }
    println!("from publish to in force on 8 entries: {times:?}");
    assert!(times.iter().all(|time| *time <= IN_FORCE_LIMIT));
    watched.check_calm().await;
}

#[actix_rt::test]
async fn stale_service_takes_nothing_back() {
    let mut watched = WatchedFleet::start(FleetPlan::small(4)).await;
    watched.fleet.publish(|_| {}).await.unwrap();
    let version = watched.fleet.publish(|_| {}).await.unwrap();
    watched.wait_version(version).await;
    watched.serve_old(1).await;
    watched.wait_counted("sheets.reported").await;
    watched.restart("h2").await;
    watched.wait_version(version).await;
    watched.fleet.replace_entry("h3", "h9").await.unwrap();
    watched.look_at("h9");
    watched.wait_version(version).await;
    watched.check_calm().await;
    let next = watched.fleet.publish(|_| {}).await.unwrap();
    watched.wait_version(next).await;
}

#[actix_rt::test]
async fn healed_partition_brings_the_later_sheet_and_takes_nothing_back() {
    let plan = FleetPlan::small(4).proxied().platform_proxied();
    let mut watched = WatchedFleet::start(plan).await;
    watched.fleet.isolate_host("h4").await.unwrap();
    watched.cut_platform("h4", true).await;
    let version = watched.fleet.publish(|_| {}).await.unwrap();
    for host in ["h1", "h2", "h3"] {
        let waited = watched.fleet.wait_for_sheet(host, version, IN_FORCE_LIMIT);
        waited.await.unwrap();
    }
    watched.serve_old(1).await;
    watched.cut_platform("h4", false).await;
    watched.check_calm().await;
    assert_eq!(watched.status("h4").await["sheet_version"], 1);
    let outcome = TestCaller::new()
        .run(
            &watched.fleet.caller_address("h4"),
            &look_request("cut-off"),
        )
        .await;
    assert!(
        outcome.complete_answer().is_some(),
        "each part serves: {outcome:?}"
    );
    watched.fleet.clear_entry_faults().await.unwrap();
    watched.wait_version(version).await;
    watched.check_calm().await;
}

#[actix_rt::test]
async fn any_peer_that_has_the_sheet_can_give_it() {
    let plan = FleetPlan::small(3).proxied().platform_proxied();
    let mut watched = WatchedFleet::start(plan).await;
    let before = watched.fleet.publish(|_| {}).await.unwrap();
    watched.wait_version(before).await;
    watched.cut_platform("h3", true).await;
    let h2 = watched.fleet.process("h2").address("peers");
    let silent = ProxyFault {
        cut_sources: vec![h2.parse().unwrap()],
        ..ProxyFault::default()
    };
    watched.fleet.set_proxy_fault("h3", &silent).await.unwrap();
    // What h1 says is heard, also of h2, but nothing can be fetched from either.
    let closed = DirectionFault {
        half_close: true,
        ..DirectionFault::default()
    };
    let fault = ProxyFault {
        to: closed.clone(),
        from: closed,
        ..ProxyFault::default()
    };
    for host in ["h1", "h2"] {
        watched.fleet.set_proxy_fault(host, &fault).await.unwrap();
    }
    let version = watched.fleet.publish(|_| {}).await.unwrap();
    let heard = wait_until("h3 hears of the sheet from h1", LIMIT, async || {
        watched.status("h3").await["latest_version"].as_u64() >= Some(version)
    });
    heard.await.unwrap();
    assert_eq!(watched.status("h3").await["sheet_version"], before);
    let calm = ProxyFault::default();
    for host in ["h2", "h3"] {
        watched.fleet.set_proxy_fault(host, &calm).await.unwrap();
    }
    watched.wait_version(version).await;
    watched.check_calm().await;
}

#[actix_rt::test]
async fn entry_that_starts_in_an_outage_learns_the_sheet_or_runs_nothing() {
    let mut watched = WatchedFleet::start(FleetPlan::small(3)).await;
    let version = watched.fleet.publish(|_| {}).await.unwrap();
    watched.wait_version(version).await;
    watched.platform(PlatformMode::Down).await;
    watched.restart("h1").await;
    let waited = watched.fleet.wait_for_sheet("h1", version, IN_FORCE_LIMIT);
    waited.await.unwrap();
    for host in ["h2", "h3"] {
        watched.fleet.process_mut(host).kill().unwrap();
    }
    watched.restart("h1").await;
    let entry = watched.fleet.caller_address("h1");
    for number in 0..20 {
        let request = look_request(&format!("no-sheet-{number}"));
        let outcome = TestCaller::new().run(&entry, &request).await;
        let report = outcome.failure().unwrap();
        assert_eq!(report.reason, FailureReason::NoSheet);
        assert_eq!(report.verdict, RunVerdict::NotRun);
        actix_rt::time::sleep(LOOK_PAUSE).await;
    }
    watched.platform(PlatformMode::Ok).await;
    let waited = watched.fleet.wait_for_sheet("h1", version, IN_FORCE_LIMIT);
    waited.await.unwrap();
    assert_eq!(*watched.reverted.borrow(), BTreeSet::new());
}

/// Restarts every entry while the service serves an old sheet; a caller brings the proof of a
/// later one to each.
async fn proof_holds_the_old_sheet_back(entries: usize) {
    let mut fleet = FleetHarness::start(FleetPlan::small(entries))
        .await
        .unwrap();
    let version = fleet.publish(|_| {}).await.unwrap();
    let caller = TestCaller::new();
    let hosts: Vec<String> = (1..=entries).map(|number| format!("h{number}")).collect();
    for host in &hosts {
        fleet.wait_for_sheet(host, version, LIMIT).await.unwrap();
    }
    let answer = caller
        .fetch_addresses(&fleet.caller_address("h1"), "farm")
        .await;
    let proof = answer.unwrap().sheet_proof;
    for host in &hosts {
        fleet.process_mut(host).kill().unwrap();
    }
    publish(&fleet, 1, &other_rows(fleet.published_rows(), 50)).await;
    for host in &hosts {
        fleet.restart_entry(host).await.unwrap();
    }
    for host in &hosts {
        fleet.wait_for_sheet(host, 1, LIMIT).await.unwrap();
    }
    for host in &hosts {
        let entry = fleet.caller_address(host);
        let mut request = look_request(&format!("{host}-proved"));
        request.sheet_proof = Some(proof.clone());
        let outcome = caller.run(&entry, &request).await;
        assert!(outcome.is_not_run(), "{outcome:?}");
        wait_until("the old sheet is held back", LIMIT, async || {
            caller.fetch_addresses(&entry, "farm").await.is_err()
        })
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
    publish(&fleet, version, fleet.published_rows()).await;
    for host in &hosts {
        let waited = fleet.wait_for_sheet(host, version, IN_FORCE_LIMIT);
        waited.await.unwrap();
    }
}

#[actix_rt::test]
async fn callers_proof_holds_back_what_a_stale_service_serves_a_lone_entry() {
    proof_holds_the_old_sheet_back(1).await;
}

#[actix_rt::test]
async fn callers_proof_holds_back_what_a_stale_service_serves_a_replaced_fleet() {
    proof_holds_the_old_sheet_back(2).await;
}

#[actix_rt::test]
async fn other_content_under_the_version_in_force_is_refused_and_reported() {
    let mut watched = WatchedFleet::start(FleetPlan::small(4)).await;
    let version = watched.fleet.publish(|_| {}).await.unwrap();
    watched.wait_version(version).await;
    let right = watched.digest("h1").await;
    let other = publish(
        &watched.fleet,
        version,
        &other_rows(watched.fleet.published_rows(), 50),
    )
    .await;
    assert_ne!(other.digest(), right);
    watched.wait_counted("sheets.reported").await;
    watched.check_calm().await;
    for host in watched.hosts() {
        assert_eq!(watched.digest(&host).await, right);
        let log = watched.fleet.log_text(&host);
        assert!(log.contains(&format!("another sheet {version}")), "{log}");
    }
    let next = watched.fleet.publish(|_| {}).await.unwrap();
    watched.wait_version(next).await;
}

#[actix_rt::test]
async fn two_operators_at_once_are_settled_by_the_next_version() {
    let mut watched = WatchedFleet::start(FleetPlan::small(4)).await;
    let mut generator = ChaCha8Rng::seed_from_u64(SEED);
    for round in 0..PUBLISHES {
        let version = watched.fleet.take_version();
        let rows = watched.fleet.published_rows();
        let (left, right) = (other_rows(rows, 50), other_rows(rows, 60));
        let gap = Duration::from_millis(generator.random_range(0..400));
        let late = async {
            actix_rt::time::sleep(gap).await;
            publish(&watched.fleet, version, &right).await
        };
        let (left, right) = tokio::join!(publish(&watched.fleet, version, &left), late);
        let allowed = BTreeSet::from([left.digest(), right.digest()]);
        let mut first = BTreeMap::new();
        for _ in 0..2 {
            watched.check_calm().await;
            for host in watched.hosts() {
                if watched.status(&host).await["sheet_version"].as_u64() != Some(version) {
                    continue;
                }
                let digest = watched.digest(&host).await;
                assert!(allowed.contains(&digest), "neither of the two sheets");
                let kept = first.entry(host).or_insert_with(|| digest.clone());
                assert_eq!(*kept, digest, "the one that was adopted first stays");
            }
        }
        println!("round {round}, gap {gap:?}: {first:?}");
        let next = watched.fleet.publish(|_| {}).await.unwrap();
        watched.wait_version(next).await;
        let mut digests = BTreeSet::new();
        for host in watched.hosts() {
            digests.insert(watched.digest(&host).await);
        }
        assert_eq!(digests.len(), 1, "the next version resolves it");
    }
}

#[actix_rt::test]
async fn two_sheets_of_one_version_on_both_sides_of_a_partition_stay_until_the_next() {
    let plan = FleetPlan::small(4).proxied().platform_proxied();
    let mut watched = WatchedFleet::start(plan).await;
    let version = watched.fleet.take_version();
    watched.fleet.isolate_host("h4").await.unwrap();
    watched.cut_platform("h4", true).await;
    let rows = watched.fleet.published_rows();
    let left = publish(&watched.fleet, version, &other_rows(rows, 50)).await;
    for host in ["h1", "h2", "h3"] {
        let waited = watched.fleet.wait_for_sheet(host, version, IN_FORCE_LIMIT);
        waited.await.unwrap();
    }
    let right = publish(&watched.fleet, version, &other_rows(rows, 60)).await;
    watched.cut_platform("h4", false).await;
    watched.wait_version(version).await;
    watched.fleet.clear_entry_faults().await.unwrap();
    watched.wait_counted("sheets.reported").await;
    watched.check_calm().await;
    for host in ["h1", "h2", "h3"] {
        assert_eq!(watched.digest(host).await, left.digest());
    }
    assert_eq!(watched.digest("h4").await, right.digest());
    let next = watched.fleet.publish(|_| {}).await.unwrap();
    watched.wait_version(next).await;
    let resolved = watched.digest("h1").await;
    assert_eq!(watched.digest("h4").await, resolved);
}

#[actix_rt::test]
async fn bad_sheet_is_refused_whole_with_every_error() {
    let mut watched = WatchedFleet::start(FleetPlan::small(4)).await;
    let before = watched.digest("h1").await;
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
    watched.wait_counted("sheets.refused").await;
    for host in watched.hosts() {
        let log = watched.fleet.log_text(&host);
        for error in &errors {
            let text = serde_json::to_string(&error.to_string()).unwrap();
            assert!(log.contains(text.trim_matches('"')), "{host}: {error}");
        }
        assert_eq!(watched.digest(&host).await, before);
    }
    watched.check_calm().await;
    let next = watched.fleet.publish(|_| {}).await.unwrap();
    watched.wait_version(next).await;
}
