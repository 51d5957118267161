use {
    crate::control::{
        ControlState, MemberController, peer_frames::sheet_reply_frame,
        platform_client::PlatformClient,
    },
    base::{HostId, SheetVersion},
    sheet::{
        FleetSheet, SheetAction, SheetBundle, SheetEvent, SheetIndex, SheetReport, SheetUpdater,
        WatchAssignment,
    },
    slog::{info, warn},
    stamp::EventKind,
    std::{
        cell::RefCell,
        collections::BTreeSet,
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    wire::{FrameSeal, PeerFrame, short_digest},
};

/// Key of the sheet index in the configuration service.
const INDEX_KEY: &str = "sheet/index";
/// Longest time that the service holds a watch of the index before it answers.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Pause after a failed read of the index.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause between two ticks of the updater.
const MAX_TICK_PAUSE: Duration = Duration::from_millis(200);

/// Notice of a sheet version that was seen elsewhere than in the configuration service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SheetNotice {
    /// A peer has a sheet in force.
    PeerHasSheet {
        host: HostId,
        version: SheetVersion,
        digest: [u8; 8],
    },
    /// A caller proved, or a placer reported, that a version was in force.
    SeenVersion(SheetVersion),
}

/// Runs the sheet updater: reads the configuration service, asks peers, and puts sheets in force.
pub struct SheetController {
    pub(super) state: Rc<ControlState>,
    pub(super) members: Rc<MemberController>,
    pub(super) client: PlatformClient,
    pub(super) seal: FrameSeal,
    updater: RefCell<SheetUpdater>,
}

impl SheetController {
    pub fn new(
        state: Rc<ControlState>,
        members: Rc<MemberController>,
        client: PlatformClient,
    ) -> Self {
        let seal = FrameSeal::new(state.settings.fleet_key().unwrap_or_default());
        let updater = RefCell::new(SheetUpdater::new(&state.settings.host, Instant::now()));
        Self {
            state,
            members,
            client,
            seal,
            updater,
        }
    }

    /// Returns the key that all entries share, all zeros if the settings have none.
    pub fn fleet_key(&self) -> [u8; 32] {
        self.state.settings.fleet_key().unwrap_or_default()
    }

    /// Returns the reply to a frame of a peer.
    pub fn answer_frame(&self, frame: &PeerFrame) -> PeerFrame {
        let updater = self.updater.borrow();
        let marks = self.members.target_rumours();
        match frame {
            PeerFrame::SheetRequest { version } => {
                sheet_reply_frame(updater.bundle().map(AsRef::as_ref), *version, marks)
            }
            _ => PeerFrame::SheetStatusReply {
                version: updater.version(),
                digest: updater.digest().to_string(),
                vouched: updater.is_vouched(),
                marks,
            },
        }
    }

    /// Returns the sheet in force in the form in which it was read; `None` before the first one.
    pub fn bundle(&self) -> Option<Arc<SheetBundle>> {
        self.updater.borrow().bundle().cloned()
    }

    /// Passes the list of peers that may be asked for a sheet to the updater.
    pub fn update_peers(self: &Rc<Self>) {
        let own = &self.state.settings.host;
        let hosts = self
            .members
            .accepting_entries()
            .into_iter()
            .map(|row| row.host);
        let hosts = hosts.filter(|host| host != own).collect();
        self.handle(SheetEvent::PeersListed { hosts });
    }

    /// Handles a notice of a sheet version.
    pub fn on_notice(self: &Rc<Self>, notice: SheetNotice) {
        match notice {
            SheetNotice::SeenVersion(version) => self.handle(SheetEvent::SeenVersion { version }),
            SheetNotice::PeerHasSheet {
                host,
                version,
                digest,
            } => {
                let digest = self.expand_digest(digest);
                self.update_peers();
                self.handle(SheetEvent::PeerHasSheet {
                    host,
                    version,
                    digest,
                });
            }
        }
    }

    /// Reads the index for ever. The watchers of each data centre hold a watch, all other daemons
    /// poll at long intervals.
    pub async fn run_index_reads(self: Rc<Self>) {
        let mut revision = None;
        loop {
            let read = self
                .client
                .watch_value(INDEX_KEY, revision, WATCH_WAIT)
                .await;
            match read {
                Ok(Some((text, next_revision))) => {
                    revision = Some(next_revision);
                    self.wait_for_peers().await;
                    self.on_index(&text);
                }
                Ok(None) => {}
                Err(_) => {
                    revision = None;
                    self.handle(SheetEvent::ServiceFailed);
                    actix_rt::time::sleep(READ_RETRY_PAUSE).await;
                }
            }
            let pause = self.index_pause();
            if !pause.is_zero() {
                revision = None;
                actix_rt::time::sleep(pause).await;
            }
        }
    }

    /// Waits until peers can have the sheet that the watchers read, so that its parts are fetched
    /// from them. Does not wait while no sheet is in force.
    async fn wait_for_peers(&self) {
        if self.updater.borrow().version() > 0 {
            let delay = self.assignment().read_delay(&self.state.settings.host);
            actix_rt::time::sleep(delay).await;
        }
    }

    /// Ticks the updater for ever.
    pub async fn run_ticks(self: Rc<Self>) {
        loop {
            let now = Instant::now();
            let next = self.updater.borrow().next_wakeup(now);
            let pause = next.map_or(MAX_TICK_PAUSE, |next| next.saturating_duration_since(now));
            actix_rt::time::sleep(pause.min(MAX_TICK_PAUSE)).await;
            self.report_newer_holders();
            self.handle(SheetEvent::Tick);
        }
    }

    /// Reports every peer that has a later sheet to the updater again. Members report a version
    /// only once, and the peer that reported it first may be gone.
    fn report_newer_holders(self: &Rc<Self>) {
        let version = self.updater.borrow().version();
        // Without a sheet the updater asks all peers by itself.
        if version == 0 || self.updater.borrow().latest_version() <= version {
            return;
        }
        let members = self.members.members().into_iter();
        for view in members.filter(|view| !view.suspect && view.sheet_version > version) {
            let digest = self.expand_digest(view.sheet_digest);
            self.handle(SheetEvent::PeerHasSheet {
                host: view.entry.host,
                version: view.sheet_version,
                digest,
            });
        }
    }

    /// Returns the pause before the next read of the index; zero for a watcher. It differs between
    /// the other daemons, so that those that started together do not keep reading together.
    fn index_pause(&self) -> Duration {
        let host = &self.state.settings.host;
        match self.assignment() {
            assignment if assignment.is_watcher(host) => Duration::ZERO,
            assignment => assignment.poll_interval(host),
        }
    }

    fn assignment(&self) -> WatchAssignment {
        let entries = self.members.accepting_entries().into_iter();
        WatchAssignment::new(entries.map(|row| (row.host, row.data_centre)))
    }

    fn on_index(self: &Rc<Self>, text: &str) {
        match toml::from_str::<SheetIndex>(text) {
            Ok(index) => self.handle(SheetEvent::IndexRead { index }),
            Err(error) => {
                self.state.metrics.count("sheets.refused", 1);
                warn!(self.state.log, "sheet index refused: it is not valid"; "error" => error.message());
            }
        }
    }

    pub(super) fn handle(self: &Rc<Self>, event: SheetEvent) {
        let actions = self.updater.borrow_mut().handle(event, Instant::now());
        for action in actions {
            self.perform(action);
        }
        self.publish_sheet();
    }

    fn perform(self: &Rc<Self>, action: SheetAction) {
        match action {
            SheetAction::AskPeers { hosts } => {
                for host in hosts {
                    actix_rt::spawn(Rc::clone(self).ask_peer_status(host));
                }
            }
            SheetAction::FetchParts { index } => {
                actix_rt::spawn(Rc::clone(self).fetch_parts(index));
            }
            SheetAction::FetchFromPeer { host } => {
                actix_rt::spawn(Rc::clone(self).fetch_from_peer(host));
            }
            SheetAction::PutInForce { sheet } => self.put_in_force(&sheet),
            SheetAction::Report { report } => self.record_report(&report),
        }
    }

    fn put_in_force(&self, sheet: &Arc<FleetSheet>) {
        let version = sheet.version();
        let digest = sheet.index.digest();
        info!(self.state.log, "sheet in force"; "version" => version, "digest" => &digest);
        self.state.metrics.gauge("sheet.version", version);
        self.state
            .recorder
            .record(EventKind::SheetInForce, |event| {
                event.with_sheet_version(version)
            });
        let leaving = sheet.targets.values().filter(|row| row.leaving);
        let leaving: BTreeSet<String> = leaving.map(|row| row.name.clone()).collect();
        self.members.on_sheet(version, &digest, leaving);
    }

    /// Publishes the sheet in force to the data path, or none while requests may not be accepted
    /// under it.
    fn publish_sheet(&self) {
        let updater = self.updater.borrow();
        let sheet = if updater.is_ready() {
            updater.sheet().cloned()
        } else {
            None
        };
        let view = self.state.view.borrow();
        let is_same_sheet = match (&view.sheet, &sheet) {
            (Some(old), Some(new)) => Arc::ptr_eq(old, new),
            (None, None) => true,
            _ => false,
        };
        let latest_version = updater.latest_version().max(updater.version());
        let is_unchanged = is_same_sheet && view.latest_version == latest_version;
        drop(view);
        drop(updater);
        if is_unchanged {
            return;
        }
        let weights = sheet.iter().flat_map(|sheet| sheet.customers.values());
        let total_weight = weights.map(|row| u64::from(row.weight)).sum();
        self.state.update_view(|view| {
            view.sheet = sheet;
            view.latest_version = latest_version;
            view.total_weight = total_weight;
        });
    }

    fn record_report(&self, report: &SheetReport) {
        self.state.metrics.count("sheets.reported", 1);
        if let SheetReport::Refused { errors, .. } = report {
            self.state.metrics.count("sheets.refused", 1);
            for error in errors {
                warn!(self.state.log, "sheet fault"; "fault" => error.to_string());
            }
        }
        let text = report.to_string();
        warn!(self.state.log, "sheet"; "report" => &text);
        self.state
            .recorder
            .record(EventKind::SheetRefused, |event| event.with_detail(text));
    }

    /// Returns the whole digest if `short` is a prefix of that of the sheet in force, and otherwise
    /// `short` in hexadecimal; heartbeats carry only the first bytes of a digest.
    fn expand_digest(&self, short: [u8; 8]) -> String {
        let updater = self.updater.borrow();
        if short_digest(updater.digest()) == short {
            return updater.digest().to_string();
        }
        short.iter().map(|byte| format!("{byte:02x}")).collect()
    }
}
