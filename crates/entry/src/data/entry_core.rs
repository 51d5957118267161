use {
    crate::{
        EntrySettings,
        data::{
            JoinRegistry, outbound_client::OutboundClient, pool_scheduler::PoolScheduler,
            sheet_proof::SheetProof, stage_stats::StageStats,
        },
        shared::{ControlMessage, EntryPhase, EventRecorder, FleetView},
    },
    base::Incarnation,
    member::TargetStrike,
    once::{RegistryLimits, TicketMint, TicketRegistry},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    retry::{
        CrashRecord, CrashTracker, CrashTrackerSettings, RetryBudget, RetryBudgetSettings,
        TargetStrikes,
    },
    room::UploadRoom,
    setup::{MetricRegistry, ReplyFollower},
    slog::Logger,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::{mpsc, watch},
};

/// Time for which a request is held after a strike, so that peers learn of it first.
const STRIKE_EXCHANGE_TIME: Duration = Duration::from_millis(100);

/// State of the data path, all of it used from one thread.
pub struct EntryCore {
    pub settings: EntrySettings,
    /// Snapshots from the controllers.
    pub view: watch::Receiver<Arc<FleetView>>,
    /// Sends messages to the controllers.
    pub message_sender: mpsc::UnboundedSender<ControlMessage>,
    pub metrics: MetricRegistry,
    pub recorder: EventRecorder,
    pub log: Logger,
    pub mint: TicketMint,
    pub ticket_registry: RefCell<TicketRegistry>,
    pub join_registry: JoinRegistry,
    pub sheet_proof: SheetProof,
    pub pools: RefCell<PoolScheduler>,
    pub stage_stats: RefCell<StageStats>,
    pub retry_budget: RefCell<RetryBudget>,
    pub crash_tracker: RefCell<CrashTracker>,
    pub client: OutboundClient,
    pub random: RefCell<ChaCha8Rng>,
    /// Number of requests whose reply was not written, and of runs, which may outlast their callers.
    pub running_requests: Cell<usize>,
    /// Room for the bodies of requests.
    pub upload_room: Arc<UploadRoom>,
    /// Number of requests that were aborted, or whose reply was not written, because the process had to
    /// end.
    pub unfinished_requests: Cell<usize>,
    started_at: Instant,
}

/// Parts that a core is created from, besides the settings.
pub struct CoreParts {
    pub view: watch::Receiver<Arc<FleetView>>,
    pub message_sender: mpsc::UnboundedSender<ControlMessage>,
    pub metrics: MetricRegistry,
    pub recorder: EventRecorder,
    pub log: Logger,
    pub incarnation: Incarnation,
    /// Address at which callers reach this entry.
    pub caller_address: String,
}

impl EntryCore {
    pub fn new(settings: EntrySettings, parts: CoreParts) -> Self {
        let key = settings.fleet_key().unwrap_or_default();
        let lifetime = settings.tickets.lifetime;
        let mint = TicketMint::new(
            &settings.host,
            parts.incarnation,
            &parts.caller_address,
            lifetime,
            &key,
        );
        let limits = RegistryLimits {
            rows: settings.tickets.rows,
            answer_bytes: settings.tickets.answer_bytes,
        };
        Self {
            upload_room: UploadRoom::new(settings.memory_shares().upload_bytes()),
            view: parts.view,
            message_sender: parts.message_sender,
            metrics: parts.metrics,
            recorder: parts.recorder,
            log: parts.log,
            mint,
            ticket_registry: RefCell::new(TicketRegistry::new(limits)),
            join_registry: JoinRegistry::default(),
            sheet_proof: SheetProof::new(&key),
            pools: RefCell::new(PoolScheduler::new(
                &settings.data_centre,
                parts.incarnation,
                settings.limits.queue,
            )),
            stage_stats: RefCell::default(),
            retry_budget: RefCell::new(RetryBudget::new(
                RetryBudgetSettings::default(),
                Instant::now(),
            )),
            crash_tracker: RefCell::new(CrashTracker::new(CrashTrackerSettings {
                own_hold: STRIKE_EXCHANGE_TIME,
                ..CrashTrackerSettings::default()
            })),
            client: OutboundClient::new(
                settings.limits.answer_bytes,
                settings.memory_shares().answer_bytes(),
            ),
            random: RefCell::new(ChaCha8Rng::from_os_rng()),
            running_requests: Cell::new(0),
            unfinished_requests: Cell::new(0),
            started_at: Instant::now(),
            settings,
        }
    }

    /// Returns the latest snapshot from the controllers.
    pub fn fleet(&self) -> Arc<FleetView> {
        Arc::clone(&self.view.borrow())
    }

    /// Returns the age of this incarnation.
    pub fn uptime(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Mints `count` tickets.
    pub fn mint_tickets(&self, count: u32) -> Vec<String> {
        let uptime = self.uptime();
        let mut random = self.random.borrow_mut();
        (0..count)
            .map(|_| self.mint.mint(uptime, &mut *random))
            .collect()
    }

    /// Applies the latest snapshot to the pools and the crash tracker, and returns it.
    pub fn refresh(&self) -> Arc<FleetView> {
        let fleet = self.fleet();
        let now = Instant::now();
        if self.pools.borrow_mut().update_view(&fleet, now) {
            let mut crash_tracker = self.crash_tracker.borrow_mut();
            for strike in &fleet.strikes {
                crash_tracker.merge(&peer_crash_record(strike, now), now);
            }
        }
        fleet
    }

    /// Waits until the process must end before its requests have, and counts the waiting request as
    /// unfinished.
    pub async fn wait_until_stopped(&self) {
        let mut view = self.view.clone();
        let _ = view
            .wait_for(|view| view.phase == EntryPhase::Stopping)
            .await;
        self.unfinished_requests
            .set(self.unfinished_requests.get() + 1);
    }

    /// Sends a message to the controllers.
    pub fn notify_control(&self, message: ControlMessage) {
        let _ = self.message_sender.send(message);
    }
}

/// Converts a strike that a peer reported to a record of the crash tracker.
fn peer_crash_record(strike: &TargetStrike, now: Instant) -> CrashRecord {
    CrashRecord {
        fingerprint: strike.fingerprint,
        victims: vec![TargetStrikes {
            target: strike.victim.target,
            stage: strike.victim.stage,
            strikes: u32::from(strike.strikes),
            cleared: 0,
        }],
        remaining: strike.expires.saturating_duration_since(now),
    }
}

/// Counts a request as running until it is dropped.
pub struct RunningGuard {
    core: Rc<EntryCore>,
}

impl RunningGuard {
    pub fn start(core: &Rc<EntryCore>) -> Self {
        core.running_requests.set(core.running_requests.get() + 1);
        Self {
            core: Rc::clone(core),
        }
    }
}

impl ReplyFollower for RunningGuard {
    // It is dropped with the reply, whether all of it was written or its caller has left.
    fn on_written(&mut self) {}
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.core
            .running_requests
            .set(self.core.running_requests.get() - 1);
    }
}
