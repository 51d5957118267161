use {
    crate::{
        EntryRow, Fingerprint, MemberAction, MemberEvent, MemberSettings, MemberView,
        fact_pulls::FactPulls, gossip_pace::GossipPace, peer_book::PeerBook,
        peer_record::PeerRecord, probe_desk::ProbeDesk, rumour_buffer::RumourBuffer,
        strike_book::StrikeBook, target_marks::TargetMarks,
    },
    base::{HostId, SheetVersion, TargetId},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    stamp::HybridTime,
    std::{collections::BTreeSet, time::Instant},
    wire::{MarkSource, PeerRumour, PeerSelf},
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
/// let about = PeerSelf {
///     host: String::from("h1"),
///     incarnation: 1,
///     data_centre: String::from("dc1"),
///     callers: String::from("10.0.0.1:80"),
///     peers: String::from("10.0.0.1:81"),
///     size: 1,
///     leaving: false,
///     sheet_version: 0,
///     sheet_digest: [0; 8],
/// };
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
    pub(crate) self_listed: Option<base::HostState>,
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
    pub fn set_sheet(&mut self, version: SheetVersion, digest: [u8; 8], now: Instant) {
        if version > self.own.sheet_version {
            self.own.sheet_version = version;
            self.own.sheet_digest = digest;
            self.latest_sheet = self.latest_sheet.max((version, digest));
            self.pace.heat(now);
        }
    }

    /// Says from now on that this daemon is leaving; that is never taken back.
    pub fn set_leaving(&mut self, now: Instant) {
        if !self.own.leaving {
            self.own.leaving = true;
            self.told_to_leave = true;
            self.tell(PeerRumour::HostLeaving(self.own.key()), None);
            self.pace.heat(now);
        }
    }

    /// Marks a target as leaving; a mark of that source that stands already stays as it is.
    pub fn mark_target_leaving(
        &mut self,
        target: &str,
        source: MarkSource,
        since: HybridTime,
        now: Instant,
    ) -> Vec<MemberAction> {
        let was = self.targets.is_leaving(target);
        let rumours = self.targets.mark(target, source, since, now);
        self.tell_all(rumours);
        self.note_target(target, source, was);
        self.flush()
    }

    /// Takes back every mark of a target, on an operator's word; `since` must be this daemon's
    /// present hybrid time, so that it is above all marks seen here.
    pub fn clear_target_leaving(
        &mut self,
        target: &str,
        since: HybridTime,
        now: Instant,
    ) -> Vec<MemberAction> {
        let was = self.targets.is_leaving(target);
        let rumours = self.targets.clear(target, since, now);
        self.tell_all(rumours);
        self.note_target(target, MarkSource::Operator, was);
        self.flush()
    }

    /// Takes in the target's own word that it is not leaving; it takes back only the target's
    /// own mark, and only if the word can't be older than the mark.
    pub fn note_target_live(&mut self, target: &str, now: Instant) -> Vec<MemberAction> {
        let was = self.targets.is_leaving(target);
        let hold = self.settings.list_lag;
        let rumours = self.targets.target_live(target, hold, now);
        self.tell_all(rumours);
        self.note_target(target, MarkSource::Target, was);
        self.flush()
    }

    /// Adds a strike of this daemon against a fingerprint and returns the sum of all.
    pub fn note_strike(
        &mut self,
        fingerprint: Fingerprint,
        at: HybridTime,
        expires: Instant,
        now: Instant,
    ) -> u8 {
        let own = self.strikes.witnessed(&fingerprint, &self.own.host, now);
        let strike = PeerRumour::Strike {
            fingerprint,
            witness: self.own.host.clone(),
            strikes: own.saturating_add(1),
            at,
            remaining_ms: milliseconds(expires.saturating_duration_since(now)),
        };
        self.absorb_strike(strike, now);
        self.strikes.strikes(&fingerprint, now)
    }

    /// Voids all strikes against a fingerprint, whose request ended well.
    pub fn clear_strikes(
        &mut self,
        fingerprint: Fingerprint,
        at: HybridTime,
        expires: Instant,
        now: Instant,
    ) {
        let cleared = PeerRumour::StrikesCleared {
            fingerprint,
            at,
            remaining_ms: milliseconds(expires.saturating_duration_since(now)),
        };
        self.absorb_strike(cleared, now);
    }

    /// Sum of the strikes against a fingerprint, of all witnesses.
    pub fn strikes(&self, fingerprint: &Fingerprint, now: Instant) -> u8 {
        self.strikes.strikes(fingerprint, now)
    }

    /// True if the target is to receive no new work.
    pub fn is_target_leaving(&self, target: &str) -> bool {
        self.targets.is_leaving(target)
    }

    /// Targets that are to receive no new work.
    pub fn leaving_targets(&self) -> BTreeSet<TargetId> {
        self.targets.leaving()
    }

    /// Entries for address answers, this daemon included: not leaving and not suspect; if most
    /// members are suspects, those stand here too, as not confirmed.
    pub fn live_entries(&self) -> Vec<EntryRow> {
        self.entries(|record| !record.is_leaving(), !self.own.leaving)
    }

    /// True if the peer stands in address answers.
    pub fn is_live_entry(&self, host: &str) -> bool {
        self.peers.get(host).is_some_and(|record| {
            !record.is_leaving() && (!record.is_suspect() || self.peers.is_doubtful())
        })
    }

    /// Entries that still take requests, so also those that are leaving.
    pub fn acceptable_entries(&self) -> Vec<EntryRow> {
        self.entries(|_| true, true)
    }

    /// A peer, whatever its state.
    pub fn member(&self, host: &str, now: Instant) -> Option<MemberView> {
        self.peers.get(host).map(|record| view_of(record, now))
    }

    /// All peers, for operators.
    pub fn members(&self, now: Instant) -> Vec<MemberView> {
        self.peers
            .records()
            .map(|record| view_of(record, now))
            .collect()
    }

    /// Peers that have a sheet of at least this version, those of the own data centre first.
    pub fn sheet_holders(&self, version: SheetVersion) -> Vec<EntryRow> {
        let holders = |record: &PeerRecord| record.about.sheet_version >= version;
        let mut rows = self.entries(holders, false);
        rows.sort_by_key(|row| (!row.confirmed, row.data_centre != self.own.data_centre));
        rows
    }

    /// True if most members seem dead, so that suspicions are not acted on.
    pub fn is_doubting(&self) -> bool {
        self.peers.is_doubtful()
    }

    fn entries(&self, fits: impl Fn(&PeerRecord) -> bool, with_self: bool) -> Vec<EntryRow> {
        let doubting = self.peers.is_doubtful();
        let records = self.peers.records().filter(|record| fits(record));
        let usable = records.filter(|record| doubting || !record.is_suspect());
        let mut rows: Vec<_> = usable.map(row_of).collect();
        if with_self {
            rows.push(row_of(&PeerRecord::reported(&self.own, self.started)));
        }
        rows.sort_by(|left, right| left.host.cmp(&right.host));
        rows
    }

    /// Reports a change of whether a target is leaving.
    pub(crate) fn note_target(&mut self, target: &str, source: MarkSource, was: bool) {
        let target = target.to_string();
        match (was, self.targets.is_leaving(&target)) {
            (false, true) => self.changed(MemberEvent::TargetLeaving { target, source }),
            (true, false) => self.changed(MemberEvent::TargetCleared { target }),
            _ => {}
        }
    }

    pub(crate) fn changed(&mut self, event: MemberEvent) {
        self.outbox.push(MemberAction::Changed(event));
    }

    pub(crate) fn flush(&mut self) -> Vec<MemberAction> {
        std::mem::take(&mut self.outbox)
    }
}

fn row_of(record: &PeerRecord) -> EntryRow {
    EntryRow {
        host: record.about.host.clone(),
        incarnation: record.about.incarnation,
        data_centre: record.about.data_centre.clone(),
        callers: record.about.callers.clone(),
        peers: record.about.peers.clone(),
        size: record.about.size,
        confirmed: !record.is_suspect(),
    }
}

fn view_of(record: &PeerRecord, now: Instant) -> MemberView {
    let heard = record
        .heard
        .map(|heard| now.saturating_duration_since(heard));
    MemberView {
        entry: row_of(record),
        leaving: record.is_leaving(),
        suspect: record.is_suspect(),
        listed: record.listed.is_some(),
        sheet_version: record.about.sheet_version,
        sheet_digest: record.about.sheet_digest,
        heard_ms_ago: heard.map(|heard| u64::from(milliseconds(heard))),
    }
}

fn milliseconds(duration: std::time::Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
