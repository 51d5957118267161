use {
    base::SheetVersion,
    proofs::{FleetHarness, FleetPlan, RunRequest, TestCaller, wait_until},
    sheet::{SheetIndex, SheetPart},
    stand::{PlatformFault, PlatformMode, ProxyFault, SheetPublisher},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, BTreeSet},
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Maximum time until a published sheet is in force on every reachable entry.
pub const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of waits for conditions that the tests only prepare.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause between two polls of an entry.
pub const POLL_PAUSE: Duration = Duration::from_millis(20);
/// Number of answers of each entry during which none may revert.
pub const STABLE_POLLS: usize = 200;
/// Number of rounds in which a sheet is published.
pub const PUBLISH_ROUNDS: usize = 6;
pub const SEED: u64 = 7;

/// A fleet whose entries are polled all the time. It records every entry that answers under a lower
/// version than before, or replaces the sheet in force by another one of the same version.
pub struct WatchedFleet {
    pub fleet: FleetHarness,
    /// Present caller address of each host.
    entries: Rc<RefCell<BTreeMap<String, String>>>,
    /// Highest version under which each host has answered.
    highest_versions: Rc<RefCell<BTreeMap<String, SheetVersion>>>,
    /// Number of answers of each host.
    poll_counts: Rc<RefCell<BTreeMap<String, usize>>>,
    /// Descriptions of the faults found; empty if there are none.
    pub violations: Rc<RefCell<BTreeSet<String>>>,
    /// Set when polling is to stop.
    is_ended: Rc<Cell<bool>>,
}

impl WatchedFleet {
    pub async fn start(plan: FleetPlan) -> Self {
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

    pub fn hosts(&self) -> Vec<String> {
        let entries = self.fleet.plan().entries.iter();
        entries.map(|entry| entry.host.clone()).collect()
    }

    /// Starts tasks that poll the versions and digests of an entry.
    pub fn watch_entry(&self, host: &str) {
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
    pub fn watch_digests(&self, host: &str) {
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
    pub async fn wait_for_version(&self, version: SheetVersion) -> Duration {
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
    pub async fn check_no_reversion(&self) {
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
    pub async fn serve_old_version(&self, version: SheetVersion) {
        publish_rows(&self.fleet, version, self.fleet.published_rows()).await;
    }

    pub async fn set_platform_mode(&self, mode: PlatformMode) {
        let fault = PlatformFault {
            mode: Some(mode),
            ..PlatformFault::default()
        };
        self.fleet.set_platform_fault(&fault).await.unwrap();
    }

    /// Cuts an entry off from the platform, or reconnects it.
    pub async fn set_platform_cut(&self, host: &str, cut: bool) {
        let fault = ProxyFault {
            cut,
            ..ProxyFault::default()
        };
        let name = format!("{host}-platform");
        self.fleet.set_proxy_fault(&name, &fault).await.unwrap();
    }

    /// Kills an entry and restarts it with its peers' addresses as seeds.
    pub async fn restart_entry(&mut self, host: &str) {
        self.fleet.process_mut(host).kill().unwrap();
        self.fleet.set_entry_seeds(host);
        self.fleet.restart_entry(host).await.unwrap();
        let address = self.fleet.caller_address(host);
        self.entries.borrow_mut().insert(host.to_string(), address);
        self.watch_digests(host);
    }

    pub async fn fetch_status(&self, host: &str) -> serde_json::Value {
        let url = format!("{}/status", self.fleet.operator_url(host));
        self.fleet.probe().get(&url).await.unwrap()
    }

    pub async fn fetch_digest(&self, host: &str) -> String {
        let status = self.fetch_status(host).await;
        status["sheet_digest"].as_str().unwrap().to_string()
    }

    /// Waits until a counter of every entry is above zero.
    pub async fn wait_for_counter(&self, counter: &str) {
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
pub async fn publish_rows(
    fleet: &FleetHarness,
    version: SheetVersion,
    rows: &SheetPart,
) -> SheetIndex {
    let parts = SheetPublisher::split_parts(rows).unwrap();
    let result = fleet.publisher().publish(version, &parts).await;
    result.unwrap()
}

/// Returns the rows with this weight of the first customer.
pub fn rows_with_weight(rows: &SheetPart, weight: u32) -> SheetPart {
    let mut rows = rows.clone();
    rows.customer[0].weight = weight;
    rows
}

pub fn look_request(id: &str) -> RunRequest {
    RunRequest::new("farm", "look", id, b"hay")
}
