use {
    crate::{
        RelaySettings,
        client_rooms::ClientRooms,
        dialect::{CallerDialect, StoreDialect, TargetDialect},
        drain::ExitPlan,
        ledger::RequestLedger,
        link::TargetChecks,
        memory::AnswerRoom,
        shared::{RelayMetrics, RelayPhase, boot_time},
        stage::BatchService,
        state::{FeedLag, StateView, StoreReplica},
        target::{ConnectionPool, PEER_PATIENCE, TARGET_PATIENCE},
        tasks::TaskSupervisor,
    },
    board::{CrashReport, GossipSettings, HostTable},
    limit::{BrittleServices, LimitDesk, ReturnLine, RoomDesk, RunTimes, TargetLimits},
    plan::{FleetPlan, PlanEvidence, ServiceId, StorePosition},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    retry::{FleetBudget, FleetBudgetSettings, PartKey, PartTracker, TrialDesk},
    room::UploadRoom,
    route::{EngineGroups, ServicePool, StreamOrigins, TargetLink, TargetNotices, VersionHistory},
    slog::Logger,
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeSet, HashMap},
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::{Mutex, Notify, watch},
};

/// Requests with keys are sent only while the evidence that the configuration is the latest one is
/// no older than this share of the time for which a revoked key may still be accepted.
const MAX_EVIDENCE_AGE_SHARE: f64 = 0.9;
/// Unknown keys and routes are rejected for good only while the evidence that the configuration is
/// the latest one is no older than this.
const MAX_REJECTION_EVIDENCE_AGE: Duration = Duration::from_millis(1_800);

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
    /// Connections to targets.
    pub connections: Rc<ConnectionPool>,
    /// Connections to the store and to other entries.
    pub control_connections: Rc<ConnectionPool>,
    /// Configuration, targets and evidence that are in force.
    pub state: RefCell<StateView>,
    /// False while the state is being put in force, and if a panic has ended that halfway.
    pub(super) is_state_applied: Cell<bool>,
    /// The evidence in force; wakes those that wait for newer one.
    pub evidence_changed: watch::Sender<PlanEvidence>,
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
    /// Limits that targets named in their answers.
    pub limits: RefCell<TargetLimits>,
    /// Calls to limited targets that this entry gives out to all entries.
    pub limit_desk: RefCell<LimitDesk>,
    /// Services whose targets are brittle.
    pub brittle_services: RefCell<BrittleServices>,
    /// Places at brittle targets that this entry gives out to all entries.
    pub room_desk: RefCell<RoomDesk>,
    /// Numbers of requests that are admitted for a service all of whose targets are limited, and
    /// not sent yet.
    pub limited_places: RefCell<HashMap<ServiceId, Rc<Cell<usize>>>>,
    /// Wakes the task that tells the other entries of limits.
    pub limit_news: Notify,
    /// Target pools of the services that run whole requests. The pools of services that make pieces
    /// are in `batch_service`.
    pub pools: RefCell<HashMap<ServiceId, ServicePool>>,
    /// Groups of the engines of each service, all of whose requests one entry places.
    pub engine_groups: RefCell<HashMap<ServiceId, EngineGroups>>,
    pub batch_service: BatchService,
    /// Urgencies of the requests with stages, where the configuration has several; the most urgent
    /// is 0.
    pub urgencies: RefCell<BTreeSet<u8>>,
    /// Records of this entry and of the others.
    pub hosts: RefCell<HostTable>,
    /// When callers that were refused for lack of room may come back.
    pub return_line: RefCell<ReturnLine>,
    /// Budget for repeated sends, shared with the other entries.
    pub budget: RefCell<FleetBudget>,
    /// Parts of prompts, and requests, that crash targets.
    pub parts: RefCell<PartTracker>,
    /// Trials of suspect parts that this entry has granted to requests of any entry.
    pub trials: RefCell<TrialDesk>,
    /// Wakes the task that tells the other entries of parts.
    pub part_news: Notify,
    /// Requests that were suspect and have been answered, of which the other entries are to be told.
    pub(super) cleared_requests: RefCell<Vec<PartKey>>,
    /// Wakes the task that tells the other entries of them.
    pub cleared_news: Notify,
    /// Where streams began, as far as this entry has seen it or was told.
    pub origins: RefCell<StreamOrigins>,
    /// For how long the targets of each service have all had the same version.
    pub version_history: RefCell<VersionHistory>,
    /// Whether this entry reaches targets at all.
    pub link: RefCell<TargetLink>,
    /// Wakes the task that checks the links to targets.
    pub link_doubted: Notify,
    /// Checks of targets that have left calls without an answer.
    pub target_checks: TargetChecks,
    /// Held while the links to targets are checked.
    pub link_checking: Mutex<()>,
    /// Numbers of running requests that were handed over, by the host of the other entry.
    pub hop_counts: RefCell<HashMap<String, u32>>,
    pub random: RefCell<ChaCha8Rng>,
    pub phase: Cell<RelayPhase>,
    /// Requests whose answer has not been written whole, and how the others have ended.
    pub ledger: RequestLedger,
    /// Whether the process is shutting down.
    pub exit: ExitPlan,
    /// Runs the tasks that serve all requests.
    pub tasks: TaskSupervisor,
    /// Room for the bodies of requests.
    pub upload_room: Arc<UploadRoom>,
    /// Room for the connections of clients.
    pub client_rooms: ClientRooms,
    /// Room for the answers that are not streamed.
    pub answer_room: AnswerRoom,
    /// How long the requests of each route take.
    pub run_times: RefCell<RunTimes>,
    /// Has the next round of gossip sent at once, since this entry saw a crash.
    pub crash_news: Notify,
    /// Crashes that this entry saw itself, oldest first, with the time of each.
    pub(super) recent_crashes: RefCell<Vec<(CrashReport, Instant)>>,
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
        let own = Self::new_record(&settings, incarnation);
        let seeds: Vec<_> = settings.peer_seeds().collect();
        let mut replica = StoreReplica::new(now);
        if seeds.iter().any(|seed| *seed != settings.listen.peers) {
            replica.await_peers();
        }
        let hosts = HostTable::new(GossipSettings::default(), own, seeds, incarnation);
        let bounds = settings.bounds;
        let budget = FleetBudgetSettings {
            repeat_ratio: bounds.repeat_ratio,
            extra_repeats: bounds.repeat_extra,
            window: bounds.repeat_window,
        };
        let memory = settings.memory_shares();
        let client_rooms = ClientRooms::new(memory);
        let ledger = RequestLedger::new();
        let metrics = RelayMetrics::new(&ledger);
        Rc::new(Self {
            tasks: TaskSupervisor::new(log.clone(), metrics.task_failures.clone()),
            metrics,
            ledger,
            exit: ExitPlan::default(),
            answer_room: AnswerRoom::new(memory.answer_bytes(), client_rooms.of_answers()),
            client_rooms,
            upload_room: UploadRoom::new(memory.upload_bytes()),
            run_times: RefCell::default(),
            batch_service: BatchService::new(peer_key),
            connections: ConnectionPool::with_short_windows(TARGET_PATIENCE, log.clone()),
            control_connections: ConnectionPool::new(PEER_PATIENCE, log.clone()),
            settings: RefCell::new(settings),
            dialects,
            log,
            state: RefCell::default(),
            is_state_applied: Cell::new(true),
            evidence_changed: watch::Sender::default(),
            replica: RefCell::new(replica),
            check_wanted: Notify::new(),
            watch_restart: Notify::new(),
            position_changed: watch::Sender::new(StorePosition::default()),
            feed_lag: RefCell::default(),
            notices: RefCell::default(),
            limits: RefCell::default(),
            limit_desk: RefCell::default(),
            brittle_services: RefCell::default(),
            room_desk: RefCell::default(),
            limited_places: RefCell::default(),
            limit_news: Notify::new(),
            pools: RefCell::default(),
            engine_groups: RefCell::default(),
            urgencies: RefCell::default(),
            hosts: RefCell::new(hosts),
            return_line: RefCell::default(),
            budget: RefCell::new(FleetBudget::new(budget, now)),
            parts: RefCell::default(),
            trials: RefCell::new(TrialDesk::new(now)),
            part_news: Notify::new(),
            cleared_requests: RefCell::default(),
            cleared_news: Notify::new(),
            origins: RefCell::default(),
            version_history: RefCell::default(),
            link: RefCell::default(),
            link_doubted: Notify::new(),
            target_checks: TargetChecks::default(),
            link_checking: Mutex::new(()),
            hop_counts: RefCell::default(),
            random: RefCell::new(ChaCha8Rng::seed_from_u64(incarnation)),
            phase: Cell::new(RelayPhase::Starting),
            crash_news: Notify::new(),
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

    /// Returns the number of live entries, this one included.
    pub fn live_entry_count(&self, now: Instant) -> usize {
        1 + self.hosts.borrow().live_peers(now).count()
    }
}
