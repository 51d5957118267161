use {
    crate::{
        MemberAction, MemberEvent, MemberSettings, fact_pulls::FactPulls, gossip_pace::GossipPace,
        peer_book::PeerBook, probe_desk::ProbeDesk, rumour_buffer::RumourBuffer,
        strike_book::StrikeBook, target_marks::TargetMarks,
    },
    base::{HostId, HostState, SheetVersion},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::time::Instant,
    wire::{PeerRumour, PeerSelf},
};

/// Everything that one daemon believes of its peers and of leaving targets.
///
/// It does no I/O: host lists, datagrams and ticks go in, datagrams and changes come out.
///
/// ```
/// use {
///     member::{MemberSettings, MemberTable},
///     stamp::HybridTime,
///     std::time::Instant,
///     wire::{MarkSource, PeerSelf},
/// };
///
/// let about = PeerSelf::new("h1", 1, "dc1", "10.0.0.1:80", "10.0.0.1:81");
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
    pub(crate) own: PeerSelf,
    pub(crate) started: Instant,
    pub(crate) self_listed: Option<HostState>,
    pub(crate) told_to_leave: bool,
    pub(crate) peers: PeerBook,
    pub(crate) targets: TargetMarks,
    pub(crate) strikes: StrikeBook,
    pub(crate) rumours: RumourBuffer,
    pub(crate) probes: ProbeDesk,
    pub(crate) pace: GossipPace,
    pub(crate) pulls: FactPulls,
    pub(crate) random: ChaCha8Rng,
    pub(crate) last_tick: Option<Instant>,
    pub(crate) listen_until: Option<Instant>,
    pub(crate) last_probe: Option<Instant>,
    pub(crate) last_waiting: Option<Instant>,
    pub(crate) last_prune: Option<Instant>,
    pub(crate) last_replay: Option<Instant>,
    pub(crate) probe_order: Vec<HostId>,
    pub(crate) filler_cursor: usize,
    pub(crate) doubting: bool,
    pub(crate) latest_sheet: (SheetVersion, [u8; 8]),
    pub(crate) outbox: Vec<MemberAction>,
}

impl MemberTable {
    /// Table of a daemon that knows only itself; the seed rules its random choices.
    pub fn new(settings: MemberSettings, own: PeerSelf, seed: u64, now: Instant) -> Self {
        Self {
            pace: GossipPace::new(&settings),
            latest_sheet: (own.sheet_version, own.sheet_digest),
            settings,
            own,
            started: now,
            self_listed: None,
            told_to_leave: false,
            peers: PeerBook::default(),
            targets: TargetMarks::default(),
            strikes: StrikeBook::default(),
            rumours: RumourBuffer::default(),
            probes: ProbeDesk::default(),
            pulls: FactPulls::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            last_tick: None,
            listen_until: None,
            last_probe: None,
            last_waiting: None,
            last_prune: None,
            last_replay: None,
            probe_order: Vec::new(),
            filler_cursor: 0,
            doubting: false,
            outbox: Vec::new(),
        }
    }

    /// What this daemon says of itself.
    pub fn own(&self) -> &PeerSelf {
        &self.own
    }

    /// Says from now on that this daemon has this sheet in force.
    ///
    /// ```
    /// # use {member::{MemberSettings, MemberTable}, std::time::{Duration, Instant}};
    /// # let about = wire::PeerSelf::new("h1", 1, "dc1", "10.0.0.1:80", "10.0.0.1:81");
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
            self.pace.heat(now);
        }
    }

    /// Says from now on that this daemon is leaving; that is never taken back.
    ///
    /// ```
    /// # use {member::{MemberSettings, MemberTable}, std::time::{Duration, Instant}};
    /// # let about = wire::PeerSelf::new("h1", 1, "dc1", "10.0.0.1:80", "10.0.0.1:81");
    /// # let now = Instant::now();
    /// # let mut table = MemberTable::new(MemberSettings::default(), about, 7, now);
    /// table.set_leaving(now);
    /// assert!(table.live_entries().is_empty());
    /// assert_eq!(table.accepting_entries().len(), 1);
    /// ```
    pub fn set_leaving(&mut self, now: Instant) {
        if !self.own.leaving {
            self.own.leaving = true;
            self.told_to_leave = true;
            self.tell(PeerRumour::HostLeaving(self.own.key()), None);
            self.pace.heat(now);
        }
    }

    pub(crate) fn changed(&mut self, event: MemberEvent) {
        self.outbox.push(MemberAction::Changed(event));
    }

    pub(crate) fn flush(&mut self) -> Vec<MemberAction> {
        std::mem::take(&mut self.outbox)
    }
}
