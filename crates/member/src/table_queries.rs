use {
    crate::{EntryRow, Fingerprint, MemberTable, MemberView, peer_record::PeerRecord},
    base::{SheetVersion, TargetId},
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
};

impl MemberTable {
    /// Returns the sum of the strikes against a fingerprint over all targets that died; expired ones
    /// don't count.
    pub fn strikes(&self, fingerprint: &Fingerprint, now: Instant) -> u8 {
        self.strikes.total_strikes(fingerprint, now)
    }

    /// True if the target is leaving and gets no new work.
    pub fn is_target_leaving(&self, target: &str) -> bool {
        self.targets.is_leaving(target)
    }

    /// Returns the targets that are leaving and get no new work.
    pub fn leaving_targets(&self) -> BTreeSet<TargetId> {
        self.targets.leaving_targets()
    }

    /// Returns the entries for address answers, this daemon included: those that are neither leaving
    /// nor suspects. If more than half of the members are suspects, the suspects are included as not
    /// confirmed.
    pub fn live_entries(&self) -> Vec<EntryRow> {
        self.entries(|record| !record.is_leaving(), !self.own.leaving)
    }

    /// True if the peer is one of the `live_entries`.
    pub fn is_live_entry(&self, host: &str) -> bool {
        self.peers.get(host).is_some_and(|record| {
            !record.is_leaving() && (!record.is_suspect() || self.peers.has_suspect_majority())
        })
    }

    /// Returns the entries that still accept requests, which includes those that are leaving.
    pub fn accepting_entries(&self) -> Vec<EntryRow> {
        self.entries(|_| true, true)
    }

    /// Returns a peer in any state, `None` if the host is not known.
    pub fn member(&self, host: &str, now: Instant) -> Option<MemberView> {
        self.peers.get(host).map(|record| view_of(record, now))
    }

    /// Returns all peers, for operators.
    pub fn members(&self, now: Instant) -> Vec<MemberView> {
        self.peers
            .records()
            .map(|record| view_of(record, now))
            .collect()
    }

    /// Returns the peers with a sheet of at least this version in force: confirmed ones first,
    /// and within each group those in this daemon's data centre first.
    ///
    /// ```
    /// # use {member::{MemberSettings, MemberTable}, std::time::{Duration, Instant}};
    /// # let about = wire::PeerInfo::new("h1", 1, "dc1", "10.0.0.1:80", "10.0.0.1:81");
    /// # let now = Instant::now();
    /// # let mut table = MemberTable::new(MemberSettings::default(), about, 7, now);
    /// use {stamp::HybridTime, wire::{PeerMessage, PeerInfo}};
    /// let mut sender = PeerInfo::new("h2", 1, "dc1", "10.0.0.2:80", "10.0.0.2:81");
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
        let holders = |record: &PeerRecord| record.description.sheet_version >= version;
        let mut rows = self.entries(holders, false);
        rows.sort_by_key(|row| (!row.confirmed, row.data_centre != self.own.data_centre));
        rows
    }

    /// True if more than half of the members are suspects, so that suspects stay in use.
    pub fn has_suspect_majority(&self) -> bool {
        self.peers.has_suspect_majority()
    }

    fn entries(
        &self,
        is_included: impl Fn(&PeerRecord) -> bool,
        includes_self: bool,
    ) -> Vec<EntryRow> {
        let is_view_doubted = self.peers.has_suspect_majority();
        let records = self.peers.records().filter(|record| is_included(record));
        let usable = records.filter(|record| is_view_doubted || !record.is_suspect());
        let mut rows: Vec<_> = usable.map(row_of).collect();
        if includes_self {
            rows.push(row_of(&PeerRecord::from_description(
                &self.own,
                self.started,
            )));
        }
        rows.sort_by(|left, right| left.host.cmp(&right.host));
        rows
    }
}

fn row_of(record: &PeerRecord) -> EntryRow {
    EntryRow {
        host: record.description.host.clone(),
        incarnation: record.description.incarnation,
        data_centre: record.description.data_centre.clone(),
        callers: record.description.callers.clone(),
        peers: record.description.peers.clone(),
        size: record.description.size,
        confirmed: !record.is_suspect(),
    }
}

fn view_of(record: &PeerRecord, now: Instant) -> MemberView {
    let contact_age = record
        .last_contact
        .map(|last_contact| now.saturating_duration_since(last_contact));
    MemberView {
        entry: row_of(record),
        leaving: record.is_leaving(),
        suspect: record.is_suspect(),
        listed: record.list_state.is_some(),
        sheet_version: record.description.sheet_version,
        sheet_digest: record.description.sheet_digest,
        heard_ms_ago: contact_age.map(|age| u64::from(saturating_millis(age))),
    }
}

/// Returns the duration in whole milliseconds, at most `u32::MAX`.
pub(crate) fn saturating_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
