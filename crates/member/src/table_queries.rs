use {
    crate::{EntryRow, Fingerprint, MemberTable, MemberView, peer_record::PeerRecord},
    base::{SheetVersion, TargetId},
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
};

impl MemberTable {
    /// Sum of the strikes against a fingerprint, of all targets that died.
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
    pub fn accepting_entries(&self) -> Vec<EntryRow> {
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
    ///
    /// ```
    /// # use {member::{MemberSettings, MemberTable}, std::time::{Duration, Instant}};
    /// # let about = wire::PeerSelf::new("h1", 1, "dc1", "10.0.0.1:80", "10.0.0.1:81");
    /// # let now = Instant::now();
    /// # let mut table = MemberTable::new(MemberSettings::default(), about, 7, now);
    /// use {stamp::HybridTime, wire::{PeerMessage, PeerSelf}};
    /// let mut sender = PeerSelf::new("h2", 1, "dc1", "10.0.0.2:80", "10.0.0.2:81");
    /// sender.sheet_version = 4;
    /// let stamp = HybridTime::default();
    /// let heartbeat = PeerMessage::Heartbeat { sender, stamp, rumours: Vec::new() };
    /// table.on_datagram(heartbeat, String::from("10.0.0.2:81"), now);
    /// assert_eq!(table.sheet_holders(4)[0].host, "h2");
    /// assert!(table.sheet_holders(5).is_empty());
    /// assert!(table.is_live_entry("h2"));
    /// assert_eq!(table.members(now)[0].sheet_version, 4);
    /// ```
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

/// Whole milliseconds, at most what the type holds.
pub(crate) fn milliseconds(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
