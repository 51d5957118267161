use {
    crate::{
        RelaySettings,
        dialect::{CallerDialect, StoreDialect, TargetDialect},
        shared::{RelayMetrics, RelayPhase, boot_time},
        stage::BatchService,
        state::{StateView, StoreReplica},
        target::ConnectionPool,
    },
    board::{CrashReport, GossipSettings, HostRecord, HostTable, TargetLoad},
    plan::{FleetPlan, ServiceId},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    retry::{
        CrashTracker, CrashTrackerSettings, FleetBudget, FleetBudgetSettings, TrackedCall,
        TrackedCallEnd, short_hash,
    },
    route::{ServicePool, TargetWork},
    slog::{Logger, info},
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::Notify,
};

/// Part of the time for taking keys away that evidence of the keys may be old.
const EVIDENCE_SHARE: f64 = 0.9;
/// Age up to which evidence proves that a key or route does not exist.
const DENIAL_AGE: Duration = Duration::from_millis(1_800);
/// Time for which a request that crashed targets is remembered.
const CRASH_MEMORY: Duration = Duration::from_secs(60);
/// Crashes that one datagram names.
const CRASHES_TOLD: usize = 8;

/// How callers, targets and the store speak.
#[derive(Clone)]
pub struct DialectSet {
    /// How callers speak.
    pub caller: Rc<dyn CallerDialect>,
    /// How targets speak.
    pub target: Rc<dyn TargetDialect>,
    /// How the platform's store speaks.
    pub state: Rc<dyn StoreDialect>,
}

/// What an entry owns. All of it lives on one thread.
pub struct RelayCore {
    pub settings: RefCell<RelaySettings>,
    pub dialects: DialectSet,
    pub log: Logger,
    pub metrics: RelayMetrics,
    pub connections: Rc<ConnectionPool>,
    pub state: RefCell<StateView>,
    pub replica: RefCell<StoreReplica>,
    /// Asks for a check whether the store has changed.
    pub check_wanted: Notify,
    /// Lets the watch of the store begin anew.
    pub watch_restart: Notify,
    pub pools: RefCell<HashMap<ServiceId, ServicePool>>,
    pub batch_service: BatchService,
    pub hosts: RefCell<HostTable>,
    pub budget: RefCell<FleetBudget>,
    pub crashes: RefCell<CrashTracker>,
    pub random: RefCell<ChaCha8Rng>,
    pub phase: Cell<RelayPhase>,
    pub running_requests: Cell<usize>,
    recent_crashes: RefCell<Vec<(CrashReport, Instant)>>,
}

impl RelayCore {
    pub fn new(
        settings: RelaySettings,
        dialects: DialectSet,
        peer_identity: [u8; 32],
        incarnation: u64,
        log: Logger,
    ) -> Rc<Self> {
        let now = Instant::now();
        let own = own_record(&settings, incarnation);
        let seeds: Vec<_> = settings.peer_seeds().collect();
        let hosts = HostTable::new(GossipSettings::default(), own, seeds, incarnation);
        let bounds = settings.bounds;
        let budget = FleetBudgetSettings {
            repeat_ratio: bounds.repeat_ratio,
            extra_repeats: bounds.repeat_extra,
            window: bounds.repeat_window,
        };
        let tracker = CrashTrackerSettings {
            lifetime: CRASH_MEMORY,
            ..CrashTrackerSettings::default()
        };
        Rc::new(Self {
            batch_service: BatchService::new(peer_identity),
            connections: ConnectionPool::new(log.clone()),
            settings: RefCell::new(settings),
            dialects,
            log,
            metrics: RelayMetrics::new(),
            state: RefCell::default(),
            replica: RefCell::new(StoreReplica::new(now)),
            check_wanted: Notify::new(),
            watch_restart: Notify::new(),
            pools: RefCell::default(),
            hosts: RefCell::new(hosts),
            budget: RefCell::new(FleetBudget::new(budget, now)),
            crashes: RefCell::new(CrashTracker::new(tracker)),
            random: RefCell::new(ChaCha8Rng::seed_from_u64(incarnation)),
            phase: Cell::new(RelayPhase::Starting),
            running_requests: Cell::new(0),
            recent_crashes: RefCell::default(),
        })
    }

    /// The configuration in force.
    pub fn plan(&self) -> Option<Arc<FleetPlan>> {
        self.state.borrow().plan.clone()
    }

    /// Age up to which evidence of the keys in force counts.
    pub fn evidence_limit(&self) -> Duration {
        self.settings.borrow().bounds.revoke.mul_f64(EVIDENCE_SHARE)
    }

    /// True if a request with a key may be sent now.
    pub fn may_use_keys(&self) -> bool {
        let limit = self.evidence_limit();
        self.state.borrow().evidence.is_fresh(boot_time(), limit)
    }

    /// True if what the configuration lacks may be denied.
    pub fn may_reject_unknown(&self) -> bool {
        self.state
            .borrow()
            .evidence
            .is_fresh(boot_time(), DENIAL_AGE)
    }

    /// True if callers should be sent here.
    pub fn is_ready(&self) -> bool {
        self.phase.get() == RelayPhase::Serving && self.may_use_keys()
    }

    /// Takes over what the store says.
    pub fn apply_state(&self, view: &StateView, now: Instant) {
        let before = self.state.replace(view.clone());
        let Some(plan) = &view.plan else {
            return;
        };
        let version_before = before.plan.as_ref().map_or(0, |plan| plan.version);
        if plan.version > version_before {
            self.metrics
                .plan_version
                .set(i64::try_from(plan.version).unwrap_or(i64::MAX));
            info!(self.log, "configuration in force";
                "version" => plan.version, "before" => version_before);
        }
        if before.targets != view.targets {
            self.log_targets(&before, view);
        }
        if plan.version > version_before || before.targets != view.targets {
            self.apply_targets(plan, view, now);
        }
        if self.phase.get() == RelayPhase::Starting {
            self.phase.set(RelayPhase::Serving);
            info!(self.log, "serving"; "targets" => view.targets.len());
        }
    }

    /// Drops targets that did not come back in time after the store did.
    pub fn expire_targets(&self, now: Instant) {
        let expired = self.replica.borrow_mut().remove_expired(now);
        if expired {
            self.apply_state(self.replica.borrow().view(), now);
        }
    }

    /// What this process tells its peers in the next round.
    pub fn refresh_own_record(&self, now: Instant) {
        let ready = self.is_ready();
        let loads = self.own_loads();
        let waits = self.batch_service.pool_waits(now);
        let mut recent = self.recent_crashes.borrow_mut();
        recent.retain(|(_, seen)| now.saturating_duration_since(*seen) < CRASH_MEMORY);
        let skip = recent.len().saturating_sub(CRASHES_TOLD);
        let mut hosts = self.hosts.borrow_mut();
        let own = hosts.own_record_mut();
        own.ready = ready;
        own.leaving = self.phase.get() == RelayPhase::Leaving;
        own.plan_version = self.plan().map_or(0, |plan| plan.version);
        own.loads = loads;
        own.pools = waits;
        own.crashes = recent[skip..].iter().map(|(report, _)| *report).collect();
    }

    /// Takes over what peers told.
    pub fn apply_peer_records(&self, now: Instant) {
        let hosts = self.hosts.borrow();
        let mut work: HashMap<u64, TargetWork> = HashMap::new();
        for record in hosts.live_peers(now) {
            for load in &record.loads {
                let sum = work.entry(load.target).or_default();
                sum.running += load.running;
                sum.unread_tokens += load.unread_tokens;
            }
            for crash in &record.crashes {
                self.merge_crash(crash, now);
            }
        }
        for pool in self.pools.borrow_mut().values_mut() {
            pool.set_peer_work(&work);
        }
    }

    /// Records that a target died while it ran a request.
    pub fn record_crash(&self, fingerprint: retry::CrashFingerprint, target: &str, now: Instant) {
        let call = TrackedCall {
            fingerprint,
            stage: 0,
            target,
        };
        self.crashes
            .borrow_mut()
            .finish_call(call, TrackedCallEnd::TargetDied, now);
        let report = CrashReport {
            request: fingerprint,
            target: short_hash(target),
        };
        self.recent_crashes.borrow_mut().push((report, now));
    }

    /// Entries that live, this one among them.
    pub fn live_entry_count(&self, now: Instant) -> usize {
        1 + self.hosts.borrow().live_peers(now).count()
    }

    fn merge_crash(&self, crash: &CrashReport, now: Instant) {
        let record = retry::CrashRecord {
            fingerprint: crash.request,
            victims: vec![retry::TargetStrikes {
                target: crash.target,
                stage: 0,
                strikes: 1,
                cleared: 0,
            }],
            remaining: CRASH_MEMORY,
        };
        self.crashes.borrow_mut().merge(&record, now);
    }

    fn own_loads(&self) -> Vec<TargetLoad> {
        let pools = self.pools.borrow();
        let work = pools.values().flat_map(ServicePool::own_work);
        work.map(|(target, work)| TargetLoad {
            target,
            running: work.running,
            unread_tokens: work.unread_tokens,
        })
        .collect()
    }

    fn apply_targets(&self, plan: &FleetPlan, view: &StateView, now: Instant) {
        let mut pools = self.pools.borrow_mut();
        pools.retain(|service, _| plan.services.contains_key(service));
        let has_pieces = |pool: &str| {
            let spec = plan.services.get(pool);
            spec.is_some_and(|spec| spec.pieces.is_some())
        };
        self.batch_service.retain_pools(has_pieces, now);
        for (name, spec) in &plan.services {
            let rows = view.targets.iter().filter(|(_, row)| row.service == *name);
            match spec.pieces {
                Some(pieces) => {
                    let rows = rows.filter(|(_, row)| !row.leaving).collect();
                    self.batch_service.set_targets(name, pieces, rows, now);
                }
                None => pools
                    .entry(name.clone())
                    .or_default()
                    .set_targets(spec, rows),
            }
        }
    }

    fn log_targets(&self, before: &StateView, view: &StateView) {
        for (id, row) in &view.targets {
            match before.targets.get(id) {
                None => info!(self.log, "target listed"; "target" => id,
                    "service" => &row.service, "address" => %row.address),
                Some(known) if known.leaving != row.leaving => {
                    info!(self.log, "target changed"; "target" => id, "leaving" => row.leaving);
                }
                Some(_) => {}
            }
        }
        let gone = before
            .targets
            .keys()
            .filter(|id| !view.targets.contains_key(*id));
        for id in gone {
            info!(self.log, "target gone"; "target" => id);
        }
    }
}

fn own_record(settings: &RelaySettings, incarnation: u64) -> HostRecord {
    HostRecord {
        host: settings.host.clone(),
        incarnation,
        sequence: 0,
        callers: settings.listen.callers,
        peers: settings.listen.peers,
        core_share: (settings.core_share * 1_000.0) as u32,
        ready: false,
        leaving: false,
        settled: false,
        plan_version: 0,
        loads: Vec::new(),
        pools: Vec::new(),
        crashes: Vec::new(),
    }
}
