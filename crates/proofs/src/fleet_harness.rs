use {
    crate::{
        ChildProcess, EntryPlan, FleetPlan, JsonProbe, TargetPlan, process_table::ProcessTable,
    },
    anyhow::Context,
    base::{HostList, HostRow, HostState, SheetVersion},
    sheet::{PoolKind, SheetPart},
    stand::{CallRecord, SheetPublisher},
    std::{collections::BTreeMap, fs, path::PathBuf, time::Duration},
};

/// Name under which the platform stand-in is started.
pub(crate) const PLATFORM: &str = "platform";
/// Maximum time until each entry has the first sheet in force, and then until it lists its peers.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A fleet of real entry processes with stand-ins for the platform and the targets; dropping it
/// kills every process.
pub struct FleetHarness {
    plan: FleetPlan,
    /// Processes by the name of their host, target or proxy; `platform` for the platform.
    processes: ProcessTable,
    /// Rows of the sheet that was published last.
    rows: SheetPart,
    /// Version that was used last; 0 if none was.
    version: SheetVersion,
    /// Host list as the test has edited it; tests publish it themselves.
    hosts: HostList,
    probe: JsonProbe,
}

impl FleetHarness {
    /// Starts platform, targets and entries, publishes sheet 1 and the host list, and waits until
    /// every entry has the sheet in force and returns the expected number of addresses.
    ///
    /// # Errors
    ///
    /// Fails if a process does not start, or an entry does not get there within the timeout.
    ///
    /// ```no_run
    /// # async fn test() -> anyhow::Result<()> {
    /// use proofs::{FleetHarness, FleetPlan, RunRequest, TestCaller};
    ///
    /// let mut harness = FleetHarness::start(FleetPlan::small(3)).await?;
    /// harness.process_mut("encode1").kill()?;
    /// let request = RunRequest::new("farm", "read", "r1", b"hay");
    /// let outcome = TestCaller::new().run(&harness.caller_address("h1"), &request).await;
    /// assert!(outcome.complete_answer().is_some(), "{outcome:?}");
    /// # Ok(())
    /// # }
    /// ```
    pub async fn start(plan: FleetPlan) -> anyhow::Result<Self> {
        let mut harness = Self::start_without_entries(plan).await?;
        for entry in harness.plan.entries.clone() {
            harness.start_entry(&entry).await?;
        }
        harness.publish_hosts().await?;
        for entry in harness.plan.entries.clone() {
            harness
                .wait_for_sheet(&entry.host, 1, START_TIMEOUT)
                .await?;
            harness.wait_for_hosts(&entry.host, START_TIMEOUT).await?;
        }
        Ok(harness)
    }

    /// Starts platform and targets and publishes sheet 1, but starts no entry.
    ///
    /// # Errors
    ///
    /// Fails if a process does not start.
    pub async fn start_without_entries(plan: FleetPlan) -> anyhow::Result<Self> {
        let mut harness = Self {
            rows: plan.rows.clone(),
            plan,
            processes: ProcessTable::new()?,
            version: 0,
            hosts: HostList::default(),
            probe: JsonProbe::new(),
        };
        harness
            .processes
            .start_stand_in(PLATFORM, &["platform"])
            .await?;
        for target in harness.plan.targets.clone() {
            harness.start_target(&target, None).await?;
        }
        harness.publish(|_| {}).await?;
        Ok(harness)
    }

    /// Changes the rows and publishes them as the next sheet; returns its version.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not accept the sheet.
    pub async fn publish(
        &mut self,
        change: impl FnOnce(&mut SheetPart),
    ) -> anyhow::Result<SheetVersion> {
        change(&mut self.rows);
        self.version += 1;
        let parts = SheetPublisher::split_parts(&self.rows)?;
        self.publisher().publish(self.version, &parts).await?;
        Ok(self.version)
    }

    /// Reserves the next version for a sheet that the test publishes itself through
    /// [`Self::publisher`]; returns it.
    pub fn take_version(&mut self) -> SheetVersion {
        self.version += 1;
        self.version
    }

    /// Returns a publisher to the platform, for sheets that [`Self::publish`] can't produce, such
    /// as an old version or an invalid sheet.
    pub fn publisher(&self) -> SheetPublisher {
        SheetPublisher::new(self.process(PLATFORM).address("operators"))
    }

    /// Publishes the host list with the changes made through [`Self::hosts_mut`].
    ///
    /// # Errors
    ///
    /// Fails if the platform does not accept the host list.
    pub async fn publish_hosts(&self) -> anyhow::Result<()> {
        self.publisher().put_hosts(&self.hosts).await
    }

    /// Returns the host list for changes, which take effect with [`Self::publish_hosts`].
    pub fn hosts_mut(&mut self) -> &mut HostList {
        &mut self.hosts
    }

    /// Returns the address on which an entry serves callers.
    pub fn caller_address(&self, host: &str) -> String {
        self.process(host).address("callers")
    }

    /// Returns the base URL of an entry's operator interface.
    pub fn operator_url(&self, host: &str) -> String {
        format!("http://{}", self.process(host).address("operators"))
    }

    /// Returns the address of a target itself, even if it has a proxy in front of it.
    pub fn target_address(&self, name: &str) -> String {
        self.process(name).address("calls")
    }

    /// Returns the process of a host, target or proxy, or of the `platform`.
    ///
    /// # Panics
    ///
    /// Panics if nothing was started under this name.
    pub fn process(&self, name: &str) -> &ChildProcess {
        self.processes.get(name)
    }

    /// Returns the process of a host, target or proxy, or of the `platform`, mutably.
    ///
    /// # Panics
    ///
    /// Panics if nothing was started under this name.
    pub fn process_mut(&mut self, name: &str) -> &mut ChildProcess {
        self.processes.get_mut(name)
    }

    /// Starts another program of the system under this name, with these settings in a file that is
    /// passed as `--settings`.
    ///
    /// # Errors
    ///
    /// Fails if the program does not start.
    pub async fn start_program(
        &mut self,
        name: &str,
        program: &str,
        settings: &str,
    ) -> anyhow::Result<&ChildProcess> {
        let path = self.processes.path(&format!("{name}.toml"));
        fs::write(&path, settings)?;
        let arguments = [PathBuf::from("--settings"), path];
        self.processes.start(name, program, arguments).await
    }

    /// Kills an entry, starts it again under the same host name at new addresses, and publishes
    /// these in the host list.
    ///
    /// # Errors
    ///
    /// Fails if the plan has no such entry or the entry does not start.
    pub async fn restart_entry(&mut self, host: &str) -> anyhow::Result<()> {
        let plans = &self.plan.entries;
        let entry = plans.iter().find(|entry| entry.host == host).cloned();
        self.processes.remove(host);
        self.start_entry(&entry.context("no such entry")?).await?;
        self.publish_hosts().await
    }

    /// Kills an entry and starts another one in its place under a new host name.
    ///
    /// # Errors
    ///
    /// Fails if the plan has no such entry or the new entry does not start.
    pub async fn replace_entry(&mut self, old: &str, new: &str) -> anyhow::Result<()> {
        self.processes.remove(old);
        self.hosts.hosts.retain(|row| row.host != old);
        let mut plans = self.plan.entries.iter_mut();
        let entry = plans.find(|entry| entry.host == old);
        entry.context("no such entry")?.host = new.to_string();
        self.restart_entry(new).await
    }

    /// Sets the seeds of an entry to the present addresses of its peers; takes effect when the
    /// entry is restarted.
    pub fn set_entry_seeds(&mut self, host: &str) {
        let others = self.hosts.hosts.iter().filter(|row| row.host != host);
        let seeds: Vec<String> = others.map(|row| row.peers.clone()).collect();
        let mut plans = self.plan.entries.iter_mut();
        if let Some(entry) = plans.find(|entry| entry.host == host) {
            entry.seeds = seeds;
        }
    }

    /// Kills a target and starts it again at the same address; its journal of postings is kept.
    ///
    /// # Errors
    ///
    /// Fails if the plan has no such target or the target does not start.
    pub async fn restart_target(&mut self, name: &str) -> anyhow::Result<()> {
        let address = self.target_address(name);
        let plans = &self.plan.targets;
        let target = plans.iter().find(|target| target.row.name == name);
        let target = target.cloned().context("no such target")?;
        self.processes.remove(name);
        self.start_target(&target, Some(address)).await
    }

    /// Returns the records of the calls that a target received since it started.
    ///
    /// # Errors
    ///
    /// Fails if the target does not answer.
    pub async fn call_records(&self, target: &str) -> anyhow::Result<Vec<CallRecord>> {
        let url = format!("http://{}/records", self.target_address(target));
        self.probe.get(&url).await
    }

    /// Returns how often each posting, as `customer/request`, was applied by all targets together,
    /// read from their journals, which survive restarts.
    ///
    /// # Errors
    ///
    /// Fails if a journal can't be read.
    pub fn posting_counts(&self) -> anyhow::Result<BTreeMap<String, u64>> {
        let mut posting_counts = BTreeMap::new();
        for target in &self.plan.targets {
            let path = self.journal_path(&target.row.name);
            for line in fs::read_to_string(path)?.lines() {
                *posting_counts.entry(line.to_string()).or_default() += 1;
            }
        }
        Ok(posting_counts)
    }

    /// Returns the rows of the sheet that [`Self::publish`] published last.
    pub fn published_rows(&self) -> &SheetPart {
        &self.rows
    }

    /// Returns the plan that the fleet was started from, with later changes to its entries.
    pub fn plan(&self) -> &FleetPlan {
        &self.plan
    }

    /// Returns the client for operator interfaces.
    pub fn probe(&self) -> &JsonProbe {
        &self.probe
    }

    /// Returns what a process has written to standard error so far.
    pub fn log_text(&self, name: &str) -> String {
        self.processes.log_text(name)
    }

    async fn start_entry(&mut self, entry: &EntryPlan) -> anyhow::Result<()> {
        let platform = self.platform_address(entry).await?;
        let mut advertise = None;
        if entry.proxied {
            advertise = Some(self.processes.start_proxy(&entry.host).await?);
        }
        let text = entry.settings_text(&platform, advertise.as_deref());
        let process = self.start_program(&entry.host, "camphor-entry", &text);
        let process = process.await?;
        let callers = process.address("callers");
        let peers = process.address("peers");
        if entry.proxied {
            self.set_proxy_destination(&entry.host, &peers).await?;
        }
        let row = HostRow {
            host: entry.host.clone(),
            data_centre: entry.data_centre.clone(),
            callers,
            peers: advertise.unwrap_or(peers),
            size: entry.size,
            state: HostState::Live,
        };
        self.hosts.hosts.retain(|old| old.host != entry.host);
        self.hosts.hosts.push(row);
        Ok(())
    }

    async fn platform_address(&mut self, entry: &EntryPlan) -> anyhow::Result<String> {
        let platform = self.process(PLATFORM).address("service");
        if !entry.platform_proxied {
            return Ok(platform);
        }
        let name = format!("{}-{PLATFORM}", entry.host);
        let address = self.processes.start_proxy(&name).await?;
        self.set_proxy_destination(&name, &platform).await?;
        Ok(address)
    }

    async fn start_target(
        &mut self,
        target: &TargetPlan,
        address: Option<String>,
    ) -> anyhow::Result<()> {
        let name = &target.row.name;
        let kind = match target.kind {
            PoolKind::Engine => "engine",
            PoolKind::Plain => "plain",
        };
        let journal = self.journal_path(name).display().to_string();
        let listen = address.unwrap_or_else(|| String::from("127.0.0.1:0"));
        let slots = target.row.capacity.to_string();
        let mut arguments = vec![kind, "--name", name, "--listen", &listen];
        arguments.extend(["--slots", &slots, "--journal", &journal]);
        arguments.extend(target.arguments.iter().map(String::as_str));
        self.processes.start_stand_in(name, &arguments).await?;
        if self.rows.target.iter().any(|row| row.name == *name) {
            return Ok(());
        }
        let mut row = target.row.clone();
        row.address = self.target_address(name);
        if target.proxied {
            let address = self.processes.start_proxy(name).await?;
            self.set_proxy_destination(name, &row.address).await?;
            row.address = address;
        }
        self.rows.target.push(row);
        Ok(())
    }

    fn journal_path(&self, name: &str) -> PathBuf {
        self.processes.path(&format!("{name}.journal"))
    }
}
