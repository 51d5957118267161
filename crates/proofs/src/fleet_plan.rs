use {
    base::{CentreId, HostId, RequestPriority},
    sheet::{CustomerRow, PipelineRow, PoolKind, PoolRow, SheetPart, StageRow, TargetRow},
    std::time::Duration,
};

/// Key that all entries of a test fleet share for peer messages, in hexadecimal.
const PEER_KEY: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";
/// Data centres to which entries and targets are assigned in turn.
const CENTRES: [&str; 3] = ["north", "south", "west"];

/// An entry that a test starts.
#[derive(Debug, Clone)]
pub struct EntryPlan {
    /// Name of its host.
    pub host: HostId,
    /// Data centre of its host.
    pub data_centre: CentreId,
    /// Capacity relative to the other hosts.
    pub size: u32,
    /// Whether peers reach it through a proxy, whose process is named `{host}-proxy`.
    pub proxied: bool,
    /// Whether it reaches the platform through a proxy, whose process is named
    /// `{host}-platform-proxy`.
    pub platform_proxied: bool,
    /// Addresses of peers that it contacts while it can't read the host list.
    pub seeds: Vec<String>,
    /// Memory that it may use, in megabytes; that of the machine if absent.
    pub memory_mb: Option<u32>,
    /// Tables to append to its settings file, in TOML.
    pub extra_settings: String,
}

impl EntryPlan {
    /// Returns the text of the settings file. `platform` is the address of the configuration
    /// service, `advertise` the address under which peers reach the entry, if it is not the one on
    /// which the entry listens.
    ///
    /// ```
    /// let plan = proofs::FleetPlan::new(1);
    /// let text = plan.entries[0].settings_text("127.0.0.1:4000", None);
    /// assert!(text.starts_with("host = \"h1\"\n"));
    /// ```
    pub fn settings_text(&self, platform: &str, advertise: Option<&str>) -> String {
        let advertise = advertise.map(|address| format!("advertise = \"{address}\"\n"));
        let advertise = advertise.unwrap_or_default();
        let (host, data_centre, size) = (&self.host, &self.data_centre, self.size);
        let (seeds, extra_settings) = (&self.seeds, &self.extra_settings);
        let memory = self
            .memory_mb
            .map(|memory| format!("memory_mb = {memory}\n"));
        let memory = memory.unwrap_or_default();
        format!(
            "host = \"{host}\"\ndata_centre = \"{data_centre}\"\nsize = {size}\n{memory}\n\
             [listen]\ncallers = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
             operators = \"127.0.0.1:0\"\n\n\
             [platform]\naddress = \"{platform}\"\n\n\
             [peers]\nkey = \"{PEER_KEY}\"\nseeds = {seeds:?}\n{advertise}\n\
             [log]\nlevel = \"info\"\n\n{extra_settings}"
        )
    }
}

/// A target that a test starts.
#[derive(Debug, Clone)]
pub struct TargetPlan {
    /// Its row of the sheet; the harness fills in the address.
    pub row: TargetRow,
    /// Kind of its pool: a model engine or a plain target.
    pub kind: PoolKind,
    /// Extra command-line arguments of its stand-in.
    pub arguments: Vec<String>,
    /// Whether entries reach it through a proxy, whose process is named `{target}-proxy`.
    pub proxied: bool,
}

/// Entries and targets that a test starts, and the sheet that it publishes.
#[derive(Debug, Clone, Default)]
pub struct FleetPlan {
    /// Entries to start.
    pub entries: Vec<EntryPlan>,
    /// Targets to start; each gets a row in the sheet.
    pub targets: Vec<TargetPlan>,
    /// Pipelines, customers and pools of the first sheet.
    pub rows: SheetPart,
}

impl FleetPlan {
    /// Returns a plan with this number of entries, named `h1` and so on, and nothing else.
    ///
    /// ```
    /// let plan = proofs::FleetPlan::small(3);
    /// assert_eq!(plan.entries.len(), 3);
    /// assert_eq!(plan.targets.len(), 6);
    /// ```
    pub fn new(entries: usize) -> Self {
        let entry_plans = (0..entries).map(|number| EntryPlan {
            host: format!("h{}", number + 1),
            data_centre: CENTRES[number % CENTRES.len()].to_string(),
            size: 1,
            proxied: false,
            platform_proxied: false,
            seeds: Vec::new(),
            memory_mb: None,
            extra_settings: String::new(),
        });
        Self {
            entries: entry_plans.collect(),
            ..Self::default()
        }
    }

    /// Returns a plan with two targets in each of the pools `encode`, `ledger` and `model`, the
    /// pipelines `look` (encode), `read` (encode, generate) and `pay` (encode, post), and the
    /// customers `farm` and `show`. The call `post` is non-idempotent.
    pub fn small(entries: usize) -> Self {
        let mut plan = Self::new(entries)
            .pool("encode", PoolKind::Plain, &[])
            .pool("ledger", PoolKind::Plain, &["post"])
            .pool("model", PoolKind::Engine, &[])
            .pipeline("look", &[("encode", "encode")])
            .pipeline("read", &[("encode", "encode"), ("model", "generate")])
            .pipeline("pay", &[("encode", "encode"), ("ledger", "post")])
            .customer("farm", 1)
            .customer("show", 1);
        for number in 1..=2 {
            plan = plan
                .target(format!("encode{number}"), "encode", 8, &[])
                .target(format!("ledger{number}"), "ledger", 8, &[])
                .target(format!("model{number}"), "model", 8, &[]);
        }
        plan
    }

    /// Adds a pool, with the kinds of call that are not idempotent on its targets.
    pub fn pool(mut self, name: &str, kind: PoolKind, non_idempotent: &[&str]) -> Self {
        self.rows.pool.push(PoolRow {
            name: name.to_string(),
            kind,
            non_idempotent: non_idempotent.iter().map(ToString::to_string).collect(),
        });
        self
    }

    /// Adds a pipeline whose stages are given as pool and kind of call.
    pub fn pipeline(mut self, name: &str, stages: &[(&str, &str)]) -> Self {
        let stage_rows = stages.iter().map(|(pool, call)| StageRow {
            pool: (*pool).to_string(),
            call: (*call).to_string(),
            model: None,
            expected: Duration::from_millis(20),
        });
        self.rows.pipeline.push(PipelineRow {
            name: name.to_string(),
            deadline: Duration::from_secs(30),
            stage: stage_rows.collect(),
        });
        self
    }

    /// Adds a customer that may use every priority.
    pub fn customer(mut self, name: &str, weight: u32) -> Self {
        let credential = Self::credential(name);
        self.rows.customer.push(CustomerRow {
            name: name.to_string(),
            weight,
            priority: RequestPriority::Urgent,
            credential: blake3::hash(credential.as_bytes()).to_hex().to_string(),
            entries: None,
        });
        self
    }

    /// Adds a target to a pool that was added before, with extra command-line arguments for its
    /// stand-in. `capacity` is the number of calls that it serves at once.
    ///
    /// # Panics
    ///
    /// Panics if the plan has no such pool.
    pub fn target(
        mut self,
        name: impl Into<String>,
        pool: &str,
        capacity: u32,
        arguments: &[&str],
    ) -> Self {
        let pool_rows = &self.rows.pool;
        let pool_row = pool_rows.iter().find(|row| row.name == pool);
        let kind = pool_row.expect("the pool was added before").kind;
        let centre = CENTRES[self.targets.len() % CENTRES.len()];
        self.targets.push(TargetPlan {
            row: TargetRow {
                name: name.into(),
                pool: pool.to_string(),
                data_centre: centre.to_string(),
                address: String::new(),
                capacity,
                leaving: false,
                models: Vec::new(),
                checks_orders: false,
            },
            kind,
            arguments: arguments.iter().map(ToString::to_string).collect(),
            proxied: false,
        });
        self
    }

    /// Puts a proxy in front of every entry and target.
    pub fn proxied(mut self) -> Self {
        for entry in &mut self.entries {
            entry.proxied = true;
        }
        for target in &mut self.targets {
            target.proxied = true;
        }
        self
    }

    /// Puts a proxy between every entry and the platform; a fault of the proxy `{host}-platform`
    /// cuts that host off from the platform.
    pub fn platform_proxied(mut self) -> Self {
        for entry in &mut self.entries {
            entry.platform_proxied = true;
        }
        self
    }

    /// Returns the plan of the target that was added under this name, for changes.
    ///
    /// # Panics
    ///
    /// Panics if the plan has no such target.
    pub fn target_mut(&mut self, name: &str) -> &mut TargetPlan {
        let mut targets = self.targets.iter_mut();
        let target = targets.find(|target| target.row.name == name);
        target.expect("the target was added before")
    }

    /// Returns the credential that a plan gives a customer.
    pub fn credential(customer: &str) -> String {
        format!("{customer}-secret")
    }
}
