use {
    crate::{
        MemberAction, MemberEvent, MemberSettings, gossip_pace::GossipPace,
        peer_registry::PeerRegistry, probe_tracker::ProbeTracker, pull_schedule::PullSchedule,
        rumour_buffer::RumourBuffer, strike_registry::StrikeRegistry, target_marks::TargetMarks,
    },
    base::{HostId, HostState, SheetVersion},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::time::Instant,
    wire::{PeerInfo, PeerRumour},
};

/// One daemon's view of its peers, of leaving targets and of strikes against requests.
///
/// The table does no I/O: it takes host lists, datagrams and ticks, and returns the datagrams to
/// send and the changes to report.
///
/// ```
/// use {
///     member::{MemberSettings, MemberTable},
///     stamp::HybridTime,
///     std::time::Instant,
///     wire::{MarkSource, PeerInfo},
/// };
///
/// let about = PeerInfo::new("h1", 1, "dc1", "10.0.0.1:80", "10.0.0.1:81");
/// let now = Instant::now();
/// let mut table = MemberTable::new(MemberSettings::default(), about, 7, now);
/// assert_eq!(table.live_entries()[0].host, "h1");
///
/// let since = HybridTime::new(1_000, 0);
/// table.mark_target_leaving("t1", MarkSource::Target, since, now);
/// assert!(table.is_target_leaving("t1"));
/// table.clear_target_leaving("t1", since.successor(), now);
/// assert!(!table.is_target_leaving("t1"));
/// ```
#[derive(Debug)]
pub struct MemberTable {
    pub(crate) settings: MemberSettings,
    pub(crate) own: PeerInfo,
    pub(crate) started: Instant,
    /// State of this host in the last host list that named it; `None` before.
    pub(crate) own_list_state: Option<HostState>,
    pub(crate) is_told_to_leave: bool,
    pub(crate) peers: PeerRegistry,
    pub(crate) targets: TargetMarks,
    pub(crate) strikes: StrikeRegistry,
    pub(crate) rumours: RumourBuffer,
    pub(crate) probes: ProbeTracker,
    pub(crate) pace: GossipPace,
    pub(crate) pulls: PullSchedule,
    pub(crate) random: ChaCha8Rng,
    pub(crate) last_tick: Option<Instant>,
    pub(crate) listen_until: Option<Instant>,
    pub(crate) last_probe: Option<Instant>,
    pub(crate) last_queued_probe: Option<Instant>,
    pub(crate) last_prune: Option<Instant>,
    pub(crate) last_replay: Option<Instant>,
    /// Hosts that are still to be probed before the order is shuffled anew, the next one last.
    pub(crate) probe_order: Vec<HostId>,
    /// Index of the next fact that fills up a heartbeat, modulo the number of facts.
    pub(crate) fact_cursor: usize,
    pub(crate) is_view_doubted: bool,
    /// Version and digest of the latest sheet that any heartbeat or this daemon has announced.
    pub(crate) latest_sheet: (SheetVersion, [u8; 8]),
    pub(crate) pending_actions: Vec<MemberAction>,
}

impl MemberTable {
    /// Creates the table of a daemon that knows only itself. `seed` seeds the generator of its
    /// random choices.
    pub fn new(settings: MemberSettings, own: PeerInfo, seed: u64, now: Instant) -> Self {
        Self {
            pace: GossipPace::new(&settings),
            latest_sheet: (own.sheet_version, own.sheet_digest),
            settings,
            own,
            started: now,
            own_list_state: None,
            is_told_to_leave: false,
            peers: PeerRegistry::default(),
            targets: TargetMarks::default(),
            strikes: StrikeRegistry::default(),
            rumours: RumourBuffer::default(),
            probes: ProbeTracker::default(),
            pulls: PullSchedule::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            last_tick: None,
            listen_until: None,
            last_probe: None,
            last_queued_probe: None,
            last_prune: None,
            last_replay: None,
            probe_order: Vec::new(),
            fact_cursor: 0,
            is_view_doubted: false,
            pending_actions: Vec::new(),
        }
    }

    /// Returns the description of this daemon that its heartbeats carry.
    pub fn own(&self) -> &PeerInfo {
        &self.own
    }

    /// Announces in all further heartbeats that this daemon has this sheet in force. An earlier
    /// version than the one announced is ignored.
    ///
    /// ```
    /// # use {member::{MemberSettings, MemberTable}, std::time::{Duration, Instant}};
    /// # let about = wire::PeerInfo::new("h1", 1, "dc1", "10.0.0.1:80", "10.0.0.1:81");
    /// # let now = Instant::now();
    /// # let mut table = MemberTable::new(MemberSettings::default(), about, 7, now);
    /// table.set_sheet(4, [1; 8], now);
    /// table.set_sheet(3, [2; 8], now);
    /// assert_eq!(table.own().sheet_version, 4);
    /// ```
    pub fn set_sheet(&mut self, version: SheetVersion, digest: [u8; 8], now: Instant) {
        if version > self.own.sheet_version {
            self.own.sheet_version = version;
            self.own.sheet_digest = digest;
            self.latest_sheet = self.latest_sheet.max((version, digest));
            self.pace.start_hot_period(now);
        }
    }

    /// Announces that this daemon is leaving. That can't be undone for this process.
    ///
    /// ```
    /// # use {member::{MemberSettings, MemberTable}, std::time::{Duration, Instant}};
    /// # let about = wire::PeerInfo::new("h1", 1, "dc1", "10.0.0.1:80", "10.0.0.1:81");
    /// # let now = Instant::now();
    /// # let mut table = MemberTable::new(MemberSettings::default(), about, 7, now);
    /// table.set_leaving(now);
    /// assert!(table.live_entries().is_empty());
    /// assert_eq!(table.accepting_entries().len(), 1);
    /// ```
    pub fn set_leaving(&mut self, now: Instant) {
        if !self.own.leaving {
            self.own.leaving = true;
            self.is_told_to_leave = true;
            self.queue_rumour(PeerRumour::HostLeaving(self.own.identity()), None);
            self.pace.start_hot_period(now);
        }
    }

    pub(crate) fn report_event(&mut self, event: MemberEvent) {
        self.pending_actions.push(MemberAction::Changed(event));
    }

    pub(crate) fn take_actions(&mut self) -> Vec<MemberAction> {
        std::mem::take(&mut self.pending_actions)
    }
}
