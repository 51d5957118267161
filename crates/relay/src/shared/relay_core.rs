use {
    crate::{
        RelaySettings,
        dialect::{CallerDialect, StoreDialect, TargetDialect},
        shared::{RelayMetrics, RelayPhase, boot_time},
        stage::BatchService,
        state::{FeedLag, StateView, StoreReplica},
        target::ConnectionPool,
    },
    board::{CrashReport, GossipSettings, HostRecord, HostTable, TargetLoad},
    limit::ReturnLine,
    plan::{FleetPlan, ServiceId, StorePosition},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    retry::{
        CrashTracker, CrashTrackerSettings, FleetBudget, FleetBudgetSettings, TrackedCall,
        TrackedCallEnd, short_hash,
    },
    route::{EngineGroups, ServicePool, TargetNotice, TargetNotices, TargetWork},
    slog::{Logger, info},
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::{Notify, watch},
};

/// Requests with keys are sent only while the evidence that the configuration is the latest one is
/// no older than this share of the time for which a revoked key may still be accepted.
const MAX_EVIDENCE_AGE_SHARE: f64 = 0.9;
/// Unknown keys and routes are rejected for good only while the evidence that the configuration is
/// the latest one is no older than this.
const MAX_REJECTION_EVIDENCE_AGE: Duration = Duration::from_millis(1_800);
/// Time for which crashes are remembered and reported to other entries.
const CRASH_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of crashes that are reported to other entries, the latest ones.
const MAX_REPORTED_CRASHES: usize = 8;

/// The dialects of the platform that an entry serves.
#[derive(Clone)]
pub struct DialectSet {
    /// Messages of callers.
    pub caller: Rc<dyn CallerDialect>,
    /// Messages of targets.
    pub target: Rc<dyn TargetDialect>,
    /// Messages of the store.
    pub store: Rc<dyn StoreDialect>,
}

/// State of an entry, shared by its tasks, which all run on one thread.
pub struct RelayCore {
    pub settings: RefCell<RelaySettings>,
    pub dialects: DialectSet,
    pub log: Logger,
    pub metrics: RelayMetrics,
    pub connections: Rc<ConnectionPool>,
    /// Configuration, targets and evidence that are in force.
    pub state: RefCell<StateView>,
    pub replica: RefCell<StoreReplica>,
    /// Wakes the task that checks whether the store has changed.
    pub check_wanted: Notify,
    /// Restarts the watch of the store.
    pub watch_restart: Notify,
    /// Position in the store's history up to which this entry knows all changes; wakes the feeds of
    /// other entries.
    pub position_changed: watch::Sender<StorePosition>,
    /// Whether the feed of the store lags behind other entries.
    pub feed_lag: RefCell<FeedLag>,
    /// What targets said of themselves in their answers.
    pub notices: RefCell<TargetNotices>,
    /// Target pools of the services that run whole requests. The pools of services that make pieces
    /// are in `batch_service`.
    pub pools: RefCell<HashMap<ServiceId, ServicePool>>,
    /// Groups of the engines of each service, all of whose requests one entry places.
    pub engine_groups: RefCell<HashMap<ServiceId, EngineGroups>>,
    pub batch_service: BatchService,
    /// Records of this entry and of the others.
    pub hosts: RefCell<HostTable>,
    /// When callers that were refused for lack of room may come back.
    pub return_line: RefCell<ReturnLine>,
    /// Budget for repeated sends, shared with the other entries.
    pub budget: RefCell<FleetBudget>,
    pub crashes: RefCell<CrashTracker>,
    pub random: RefCell<ChaCha8Rng>,
    pub phase: Cell<RelayPhase>,
    /// Number of requests whose answer has not been passed on whole.
    pub running_requests: Cell<usize>,
    /// Crashes that this entry saw itself, oldest first, with the time of each.
    recent_crashes: RefCell<Vec<(CrashReport, Instant)>>,
}

impl RelayCore {
    pub fn new(
        settings: RelaySettings,
        dialects: DialectSet,
        peer_key: [u8; 32],
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
            lifetime: CRASH_RETENTION,
            ..CrashTrackerSettings::default()
        };
        Rc::new(Self {
            batch_service: BatchService::new(peer_key),
            connections: ConnectionPool::new(log.clone()),
            settings: RefCell::new(settings),
            dialects,
            log,
            metrics: RelayMetrics::new(),
            state: RefCell::default(),
            replica: RefCell::new(StoreReplica::new(now)),
            check_wanted: Notify::new(),
            watch_restart: Notify::new(),
            position_changed: watch::Sender::new(StorePosition::default()),
            feed_lag: RefCell::default(),
            notices: RefCell::default(),
            pools: RefCell::default(),
            engine_groups: RefCell::default(),
            hosts: RefCell::new(hosts),
            return_line: RefCell::default(),
            budget: RefCell::new(FleetBudget::new(budget, now)),
            crashes: RefCell::new(CrashTracker::new(tracker)),
            random: RefCell::new(ChaCha8Rng::seed_from_u64(incarnation)),
            phase: Cell::new(RelayPhase::Starting),
            running_requests: Cell::new(0),
            recent_crashes: RefCell::default(),
        })
    }

    /// Returns the configuration in force, or `None` before the first one was read.
    pub fn plan(&self) -> Option<Arc<FleetPlan>> {
        self.state.borrow().plan.clone()
    }

    /// Returns the age up to which evidence that the configuration is the latest one suffices to
    /// send requests with keys.
    pub fn evidence_limit(&self) -> Duration {
        self.settings
            .borrow()
            .bounds
            .revoke
            .mul_f64(MAX_EVIDENCE_AGE_SHARE)
    }

    /// Returns true if the store confirmed the configuration recently enough that its keys may be
    /// used; an older configuration may hold keys that were revoked since.
    pub fn keys_are_fresh(&self) -> bool {
        let limit = self.evidence_limit();
        self.state.borrow().evidence.is_fresh(boot_time(), limit)
    }

    /// Returns true if the store confirmed the configuration recently enough to reject a request
    /// whose key or route it lacks; an older one may lack keys and routes that were added since.
    pub fn can_reject_unknown(&self) -> bool {
        self.state
            .borrow()
            .evidence
            .is_fresh(boot_time(), MAX_REJECTION_EVIDENCE_AGE)
    }

    /// Returns true if callers should send requests to this entry.
    pub fn is_ready(&self) -> bool {
        self.phase.get() == RelayPhase::Serving && self.keys_are_fresh()
    }

    /// Puts the configuration and targets that were read from the store in force.
    pub fn apply_state(&self, view: &StateView, now: Instant) {
        let previous = self.state.replace(view.clone());
        let Some(plan) = &view.plan else {
            return;
        };
        let previous_version = previous.plan.as_ref().map_or(0, |plan| plan.version);
        if plan.version > previous_version {
            self.metrics
                .plan_version
                .set(i64::try_from(plan.version).unwrap_or(i64::MAX));
            info!(self.log, "configuration in force";
                "version" => plan.version, "before" => previous_version);
        }
        if previous.targets != view.targets {
            self.log_target_changes(&previous, view);
        }
        if plan.version > previous_version || previous.targets != view.targets {
            self.apply_targets(plan, view, now);
        }
        if self.phase.get() == RelayPhase::Starting {
            self.phase.set(RelayPhase::Serving);
            info!(self.log, "serving"; "targets" => view.targets.len());
        }
    }

    /// Removes targets that did not register again in time after an outage of the store.
    pub fn expire_targets(&self, now: Instant) {
        let expired = self.replica.borrow_mut().remove_expired(now);
        if expired {
            self.apply_state(self.replica.borrow().view(), now);
        }
    }

    /// Updates the record that the next gossip round sends to other entries.
    pub fn refresh_own_record(&self, now: Instant) {
        let ready = self.is_ready();
        let loads = match self.hosts.borrow().is_large_fleet() {
            true => Vec::new(),
            false => self.own_loads(),
        };
        let pool_loads = self.batch_service.own_pool_loads(now);
        let mut recent = self.recent_crashes.borrow_mut();
        recent.retain(|(_, seen)| now.saturating_duration_since(*seen) < CRASH_RETENTION);
        let skipped_count = recent.len().saturating_sub(MAX_REPORTED_CRASHES);
        let mut hosts = self.hosts.borrow_mut();
        let own = hosts.own_record_mut();
        own.ready = ready;
        own.leaving = self.phase.get() == RelayPhase::Leaving;
        own.plan_version = self.plan().map_or(0, |plan| plan.version);
        own.loads = loads;
        own.pools = pool_loads;
        own.crashes = recent[skipped_count..]
            .iter()
            .map(|(report, _)| *report)
            .collect();
    }

    /// Applies the loads and crashes that other entries reported.
    pub fn apply_peer_records(&self, now: Instant) {
        let hosts = self.hosts.borrow();
        let mut work_by_target: HashMap<u64, TargetWork> = HashMap::new();
        // In a large fleet a record reaches an entry too seldom to tell the load of now.
        let has_loads = !hosts.is_large_fleet();
        for record in hosts.live_peers(now) {
            for load in record.loads.iter().filter(|_| has_loads) {
                let work = work_by_target.entry(load.target).or_default();
                work.running += load.running;
                work.unread_tokens += load.unread_tokens;
            }
            for crash in &record.crashes {
                self.merge_crash(crash, now);
            }
        }
        for pool in self.pools.borrow_mut().values_mut() {
            pool.set_peer_work(&work_by_target);
        }
        let latest_plan = hosts.latest_peer_plan(now);
        let mut replica = self.replica.borrow_mut();
        replica.on_peer_plan(latest_plan, now);
        self.state.borrow_mut().evidence = replica.view().evidence;
    }

    /// Applies what a target said of itself in the head of an answer: that it is leaving, or that
    /// it wants no calls for a while. This holds for all calls of this entry to that process.
    pub fn record_notice(&self, target: &str, notice: TargetNotice, now: Instant) {
        if notice == TargetNotice::default() {
            return;
        }
        let state = self.state.borrow();
        let started_ms = state.targets.get(target).map_or(0, |row| row.started_ms);
        let is_news = self
            .notices
            .borrow_mut()
            .record(target, started_ms, notice, now);
        if is_news {
            info!(self.log, "target gave notice"; "target" => target,
                "leaving" => notice.leaving,
                "pause_ms" => notice.pause.map(|pause| pause.as_millis() as u64));
            self.metrics.target_notices.inc();
        }
        self.apply_notices(now);
    }

    /// Tells the pools and schedulers which targets are leaving or want no calls for a while.
    fn apply_notices(&self, now: Instant) {
        let notices = self.notices.borrow();
        let mut pools = self.pools.borrow_mut();
        for (target, standing) in notices.active(now) {
            for pool in pools.values_mut() {
                pool.apply_notice(target, standing);
            }
            self.batch_service.apply_notice(target, standing);
        }
    }

    /// Records that a target died while it ran a request, and reports it to the other entries.
    pub fn record_crash(&self, fingerprint: retry::CrashFingerprint, target: &str, now: Instant) {
        let call = TrackedCall {
            fingerprint,
            // Only whole requests are tracked; all count as stage 0.
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

    /// Returns the number of live entries, this one included.
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
            remaining: CRASH_RETENTION,
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
                None => {
                    if spec.engine.is_some() {
                        let groups = EngineGroups::new(name, rows.clone());
                        self.engine_groups.borrow_mut().insert(name.clone(), groups);
                    }
                    let pool = pools.entry(name.clone()).or_default();
                    pool.set_targets(spec, rows);
                }
            }
        }
        drop(pools);
        for (id, row) in &view.targets {
            self.notices.borrow_mut().retain_process(id, row.started_ms);
        }
        self.apply_notices(now);
    }

    fn log_target_changes(&self, previous: &StateView, view: &StateView) {
        for (id, row) in &view.targets {
            match previous.targets.get(id) {
                None => info!(self.log, "target listed"; "target" => id,
                    "service" => &row.service, "address" => %row.address),
                Some(previous_row) if previous_row.leaving != row.leaving => {
                    info!(self.log, "target changed"; "target" => id, "leaving" => row.leaving);
                }
                Some(_) => {}
            }
        }
        let gone_ids = previous
            .targets
            .keys()
            .filter(|id| !view.targets.contains_key(*id));
        for id in gone_ids {
            info!(self.log, "target gone"; "target" => id);
        }
    }
}

fn own_record(settings: &RelaySettings, incarnation: u64) -> HostRecord {
    HostRecord {
        host: settings.host.clone(),
        data_centre: settings.data_centre.clone(),
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
