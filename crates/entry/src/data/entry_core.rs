use {
    crate::{
        EntrySettings,
        data::{
            JoinDesk, pool_desk::PoolDesk, sheet_proof::SheetProof, stage_desk::StageDesk,
            target_client::TargetClient,
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
    setup::MetricRegistry,
    slog::Logger,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::{mpsc, watch},
};

/// Pause after a strike in which peers hear of it before the request runs again.
const STRIKE_PAUSE: Duration = Duration::from_millis(100);

/// What the data path owns. All of it lives on one thread.
pub struct EntryCore {
    pub settings: EntrySettings,
    pub view: watch::Receiver<Arc<FleetView>>,
    pub notes: mpsc::UnboundedSender<ControlMessage>,
    pub metrics: MetricRegistry,
    pub recorder: EventRecorder,
    pub log: Logger,
    pub mint: TicketMint,
    pub ticket_registry: RefCell<TicketRegistry>,
    pub joins: JoinDesk,
    pub proof: SheetProof,
    pub pools: RefCell<PoolDesk>,
    pub stages: RefCell<StageDesk>,
    pub budget: RefCell<RetryBudget>,
    pub crashes: RefCell<CrashTracker>,
    pub client: TargetClient,
    pub random: RefCell<ChaCha8Rng>,
    pub running: Cell<usize>,
    /// Requests that were cut because the process had to end.
    pub cut: Cell<usize>,
    started: Instant,
}

/// What a core is made from besides the settings.
pub struct CoreParts {
    pub view: watch::Receiver<Arc<FleetView>>,
    pub notes: mpsc::UnboundedSender<ControlMessage>,
    pub metrics: MetricRegistry,
    pub recorder: EventRecorder,
    pub log: Logger,
    pub incarnation: Incarnation,
    pub callers: String,
}

impl EntryCore {
    pub fn new(settings: EntrySettings, parts: CoreParts) -> Self {
        let key = settings.fleet_key().unwrap_or_default();
        let lifetime = settings.tickets.lifetime;
        let mint = TicketMint::new(
            &settings.host,
            parts.incarnation,
            &parts.callers,
            lifetime,
            &key,
        );
        let limits = RegistryLimits {
            rows: settings.tickets.rows,
            answer_bytes: settings.tickets.answer_bytes,
        };
        Self {
            view: parts.view,
            notes: parts.notes,
            metrics: parts.metrics,
            recorder: parts.recorder,
            log: parts.log,
            mint,
            ticket_registry: RefCell::new(TicketRegistry::new(limits)),
            joins: JoinDesk::default(),
            proof: SheetProof::new(&key),
            pools: RefCell::new(PoolDesk::new(
                &settings.data_centre,
                parts.incarnation,
                settings.limits.queue,
            )),
            stages: RefCell::default(),
            budget: RefCell::new(RetryBudget::new(
                RetryBudgetSettings::default(),
                Instant::now(),
            )),
            crashes: RefCell::new(CrashTracker::new(CrashTrackerSettings {
                own_hold: STRIKE_PAUSE,
                ..CrashTrackerSettings::default()
            })),
            client: TargetClient::new(settings.limits.answer_bytes),
            random: RefCell::new(ChaCha8Rng::from_os_rng()),
            running: Cell::new(0),
            cut: Cell::new(0),
            started: Instant::now(),
            settings,
        }
    }

    /// Latest snapshot of what the controllers know.
    pub fn fleet(&self) -> Arc<FleetView> {
        Arc::clone(&self.view.borrow())
    }

    /// Age of this incarnation.
    pub fn uptime(&self) -> Duration {
        self.started.elapsed()
    }

    /// Mints tickets for an answer.
    pub fn tickets(&self, count: u32) -> Vec<String> {
        let uptime = self.uptime();
        let mut random = self.random.borrow_mut();
        (0..count)
            .map(|_| self.mint.mint(uptime, &mut *random))
            .collect()
    }

    /// Takes over what the controllers have learned since the last time.
    pub fn refresh(&self) -> Arc<FleetView> {
        let fleet = self.fleet();
        let now = Instant::now();
        if self.pools.borrow_mut().sync(&fleet, now) {
            let mut crashes = self.crashes.borrow_mut();
            for strike in &fleet.strikes {
                crashes.merge(&foreign_record(strike, now), now);
            }
        }
        fleet
    }

    /// Returns once the process ends before its requests do, and counts the one that waits here.
    pub async fn stopped(&self) {
        let mut view = self.view.clone();
        let _ = view
            .wait_for(|view| view.phase == EntryPhase::Stopping)
            .await;
        self.cut.set(self.cut.get() + 1);
    }

    /// Tells the controllers something.
    pub fn note(&self, note: ControlMessage) {
        let _ = self.notes.send(note);
    }
}

/// What a peer told of, as a record of the crash tracker.
fn foreign_record(strike: &TargetStrike, now: Instant) -> CrashRecord {
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

/// Counts a running request for as long as it lives.
pub struct RunningPlace {
    core: Rc<EntryCore>,
}

impl RunningPlace {
    pub fn take(core: &Rc<EntryCore>) -> Self {
        core.running.set(core.running.get() + 1);
        Self {
            core: Rc::clone(core),
        }
    }
}

impl Drop for RunningPlace {
    fn drop(&mut self) {
        self.core.running.set(self.core.running.get() - 1);
    }
}
