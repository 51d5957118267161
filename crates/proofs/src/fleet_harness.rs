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

/// Name of the platform's process.
pub(crate) const PLATFORM: &str = "platform";
/// Time in which every entry must have the first sheet in force.
const START_LIMIT: Duration = Duration::from_secs(20);

/// A fleet of real processes with its platform and targets; everything ends when dropped.
pub struct FleetHarness {
    plan: FleetPlan,
    /// Processes by the name of their host, target, proxy, or `platform`.
    processes: ProcessTable,
    /// Sheet as it was published last.
    rows: SheetPart,
    version: SheetVersion,
    hosts: HostList,
    probe: JsonProbe,
}

impl FleetHarness {
    /// Starts platform, targets and entries, publishes sheet 1 and the host list, and waits
    /// until every entry answers with the sheet in force.
    ///
    /// # Errors
    ///
    /// Fails if a process does not start or an entry has no sheet in time.
    ///
    /// ```no_run
    /// # async fn test() -> anyhow::Result<()> {
    /// use proofs::{FleetHarness, FleetPlan, RunRequest, TestCaller};
    ///
    /// let mut harness = FleetHarness::start(FleetPlan::small(3)).await?;
    /// harness.process_mut("encode1").kill()?;
    /// let request = RunRequest::new("farm", "read", "r1", b"hay");
    /// let outcome = TestCaller::new().run(&harness.callers("h1"), &request).await;
    /// assert!(outcome.whole().is_some(), "{outcome:?}");
    /// # Ok(())
    /// # }
    /// ```
    pub async fn start(plan: FleetPlan) -> anyhow::Result<Self> {
        let mut harness = Self::start_stands(plan).await?;
        for entry in harness.plan.entries.clone() {
            harness.start_entry(&entry).await?;
        }
        harness.publish_hosts().await?;
        for entry in harness.plan.entries.clone() {
            harness.wait_sheet(&entry.host, 1, START_LIMIT).await?;
            harness.wait_hosts(&entry.host, START_LIMIT).await?;
        }
        Ok(harness)
    }

    /// Starts platform and targets and publishes sheet 1, but starts no entry.
    ///
    /// # Errors
    ///
    /// Fails if a process does not start.
    pub async fn start_stands(plan: FleetPlan) -> anyhow::Result<Self> {
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
            .start_stand(PLATFORM, &["platform"])
            .await?;
        for target in harness.plan.targets.clone() {
            harness.start_target(&target, None).await?;
        }
        harness.publish(|_| {}).await?;
        Ok(harness)
    }

    /// Publishes the next sheet after a change; returns its version.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not take it.
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

    /// Takes the next version for a sheet that the test publishes by itself.
    pub fn take_version(&mut self) -> SheetVersion {
        self.version += 1;
        self.version
    }

    /// Publisher at the platform, for sheets that the harness would not publish.
    pub fn publisher(&self) -> SheetPublisher {
        SheetPublisher::new(self.process(PLATFORM).address("operators"))
    }

    /// Publishes the host list as it stands.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not take it.
    pub async fn publish_hosts(&self) -> anyhow::Result<()> {
        self.publisher().put_hosts(&self.hosts).await
    }

    /// Host list that is published; change it and publish it again.
    pub fn hosts_mut(&mut self) -> &mut HostList {
        &mut self.hosts
    }

    /// Address of an entry for callers.
    pub fn callers(&self, host: &str) -> String {
        self.process(host).address("callers")
    }

    /// Base URL of an entry's operators' interface.
    pub fn operators(&self, host: &str) -> String {
        format!("http://{}", self.process(host).address("operators"))
    }

    /// Address of a target itself, without a proxy before it.
    pub fn target_address(&self, name: &str) -> String {
        self.process(name).address("calls")
    }

    /// Process of a host, target or proxy, or of the `platform`.
    ///
    /// # Panics
    ///
    /// Panics if nothing was started under this name.
    pub fn process(&self, name: &str) -> &ChildProcess {
        self.processes.get(name)
    }

    /// Like [`Self::process`], for changes.
    ///
    /// # Panics
    ///
    /// Panics if nothing was started under this name.
    pub fn process_mut(&mut self, name: &str) -> &mut ChildProcess {
        self.processes.get_mut(name)
    }

    /// Starts a further program of the system with a settings file, under a name.
    ///
    /// # Errors
    ///
    /// Fails if it does not start.
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

    /// Starts an entry again under its old host name at new addresses, and publishes them.
    ///
    /// # Errors
    ///
    /// Fails if it does not start.
    pub async fn restart_entry(&mut self, host: &str) -> anyhow::Result<()> {
        let plans = &self.plan.entries;
        let entry = plans.iter().find(|entry| entry.host == host).cloned();
        self.processes.remove(host);
        self.start_entry(&entry.context("no such entry")?).await?;
        self.publish_hosts().await
    }

    /// Ends an entry and starts another under a new host name in its place.
    ///
    /// # Errors
    ///
    /// Fails if it does not start.
    pub async fn replace_entry(&mut self, old: &str, new: &str) -> anyhow::Result<()> {
        self.processes.remove(old);
        self.hosts.hosts.retain(|row| row.host != old);
        let mut plans = self.plan.entries.iter_mut();
        let entry = plans.find(|entry| entry.host == old);
        entry.context("no such entry")?.host = new.to_string();
        self.restart_entry(new).await
    }

    /// Lets an entry try its peers' present addresses when it starts again.
    pub fn seed_entry(&mut self, host: &str) {
        let others = self.hosts.hosts.iter().filter(|row| row.host != host);
        let seeds: Vec<String> = others.map(|row| row.peers.clone()).collect();
        let mut plans = self.plan.entries.iter_mut();
        if let Some(entry) = plans.find(|entry| entry.host == host) {
            entry.seeds = seeds;
        }
    }

    /// Starts a target again at its old address; its postings live on.
    ///
    /// # Errors
    ///
    /// Fails if it does not start.
    pub async fn restart_target(&mut self, name: &str) -> anyhow::Result<()> {
        let address = self.target_address(name);
        let plans = &self.plan.targets;
        let target = plans.iter().find(|target| target.row.name == name);
        let target = target.cloned().context("no such target")?;
        self.processes.remove(name);
        self.start_target(&target, Some(address)).await
    }

    /// Calls that a target saw since it started.
    ///
    /// # Errors
    ///
    /// Fails if the target does not answer.
    pub async fn records(&self, target: &str) -> anyhow::Result<Vec<CallRecord>> {
        let url = format!("http://{}/records", self.target_address(target));
        self.probe.get(&url).await
    }

    /// How often each posting was applied, over all targets, read from what outlives them.
    ///
    /// # Errors
    ///
    /// Fails if a journal can't be read.
    pub fn postings(&self) -> anyhow::Result<BTreeMap<String, u64>> {
        let mut postings = BTreeMap::new();
        for target in &self.plan.targets {
            let path = self.journal(&target.row.name);
            for line in fs::read_to_string(path)?.lines() {
                *postings.entry(line.to_string()).or_default() += 1;
            }
        }
        Ok(postings)
    }

    /// Sheet as it was published last.
    pub fn rows(&self) -> &SheetPart {
        &self.rows
    }

    /// What was started.
    pub fn plan(&self) -> &FleetPlan {
        &self.plan
    }

    /// Probe for operators' interfaces.
    pub fn probe(&self) -> &JsonProbe {
        &self.probe
    }

    /// Standard error of a process so far.
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
            self.aim_proxy(&entry.host, &peers).await?;
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
        self.aim_proxy(&name, &platform).await?;
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
        let journal = self.journal(name).display().to_string();
        let listen = address.unwrap_or_else(|| String::from("127.0.0.1:0"));
        let slots = target.row.capacity.to_string();
        let mut arguments = vec![kind, "--name", name, "--listen", &listen];
        arguments.extend(["--slots", &slots, "--journal", &journal]);
        arguments.extend(target.arguments.iter().map(String::as_str));
        self.processes.start_stand(name, &arguments).await?;
        if self.rows.target.iter().any(|row| row.name == *name) {
            return Ok(());
        }
        let mut row = target.row.clone();
        row.address = self.target_address(name);
        if target.proxied {
            let address = self.processes.start_proxy(name).await?;
            self.aim_proxy(name, &row.address).await?;
            row.address = address;
        }
        self.rows.target.push(row);
        Ok(())
    }

    fn journal(&self, name: &str) -> PathBuf {
        self.processes.path(&format!("{name}.journal"))
    }
}
