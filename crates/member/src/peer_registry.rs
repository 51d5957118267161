use {
    crate::peer_record::PeerRecord,
    base::{HostId, HostRow, HostState, Incarnation},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    wire::{PeerIdentity, PeerInfo},
};

/// Limit of the tombstones that are kept.
const MAX_TOMBSTONES: usize = 4_096;

/// Records of all other hosts, and the rules by which reports about a host supersede each other: a
/// later incarnation replaces an earlier one, and an incarnation that is leaving stays so.
#[derive(Debug, Default)]
pub(crate) struct PeerRegistry {
    records: BTreeMap<HostId, PeerRecord>,
    suspects: BTreeSet<HostId>,
    tombstones: BTreeMap<HostId, Tombstone>,
}

/// State that is kept of a removed host, so that old rumours can't restore it.
#[derive(Debug, Clone, Copy, Default)]
struct Tombstone {
    /// Latest known incarnation; reports about an earlier one are ignored.
    latest_incarnation: Incarnation,
    /// Latest incarnation that is known to be leaving; so are all earlier ones.
    leaving_up_to: Incarnation,
}

/// What a report about a host changed in its record.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct PeerChange {
    /// The host or its incarnation was not known before.
    pub(crate) is_new: bool,
    /// The host was a suspect and no longer is.
    pub(crate) is_revived: bool,
    /// The host is leaving and was not known to be.
    pub(crate) is_now_leaving: bool,
    /// Peers can't know the incarnation from the host list, since it replaces another process or
    /// the list does not name the host.
    pub(crate) is_unknown_elsewhere: bool,
}

impl PeerRegistry {
    /// Applies the description that a process gave of itself, directly (`is_direct`) or through a
    /// rumour.
    pub(crate) fn on_description(
        &mut self,
        description: &PeerInfo,
        is_direct: bool,
        now: Instant,
    ) -> PeerChange {
        let mut change = PeerChange::default();
        let tombstone = self.tombstone(&description.host);
        if description.incarnation < tombstone.latest_incarnation {
            return change;
        }
        let record = self
            .records
            .entry(description.host.clone())
            .or_insert_with(|| {
                let mut record = PeerRecord::from_description(description, now);
                record.description.incarnation = 0;
                record.leaving_up_to = tombstone.leaving_up_to;
                record
            });
        if description.incarnation < record.description.incarnation {
            return change;
        }
        let was_leaving = record.is_leaving();
        if description.incarnation > record.description.incarnation {
            change.is_new = true;
            change.is_unknown_elsewhere =
                record.description.incarnation > 0 || record.list_state.is_none();
            replace_incarnation(record, description, now);
        } else if is_direct {
            record.description = description.clone();
        } else if description.sheet_version > record.description.sheet_version {
            record.description.sheet_version = description.sheet_version;
            record.description.sheet_digest = description.sheet_digest;
        }
        if is_direct {
            record.last_contact = Some(now);
            change.is_revived = record.suspect_since.take().is_some();
        }
        if !record.is_suspect() {
            self.suspects.remove(&description.host);
        }
        if description.leaving {
            record.leaving_up_to = record.leaving_up_to.max(description.incarnation);
        }
        change.is_now_leaving = record.is_leaving() && (change.is_new || !was_leaving);
        change
    }

    /// Records a message that came directly from a process and carried no description.
    pub(crate) fn on_contact(&mut self, identity: &PeerIdentity, now: Instant) -> PeerChange {
        let mut change = PeerChange::default();
        let tombstone = self.tombstone(&identity.host);
        let Some(record) = self.records.get_mut(&identity.host) else {
            return change;
        };
        if identity.incarnation
            < record
                .description
                .incarnation
                .max(tombstone.latest_incarnation)
        {
            return change;
        }
        if identity.incarnation > record.description.incarnation {
            let description = PeerInfo {
                incarnation: identity.incarnation,
                leaving: false,
                sheet_version: 0,
                sheet_digest: [0; 8],
                ..record.description.clone()
            };
            change.is_new = true;
            change.is_unknown_elsewhere =
                record.description.incarnation > 0 || record.list_state.is_none();
            replace_incarnation(record, &description, now);
        }
        record.last_contact = Some(now);
        change.is_revived = record.suspect_since.take().is_some();
        self.suspects.remove(&identity.host);
        change
    }

    /// Records that a process is leaving, and returns whether that was not known.
    pub(crate) fn mark_leaving(&mut self, identity: &PeerIdentity) -> bool {
        match self.records.get_mut(&identity.host) {
            Some(record) => {
                let is_news = identity.incarnation > record.leaving_up_to;
                record.leaving_up_to = record.leaving_up_to.max(identity.incarnation);
                is_news
            }
            None => {
                let is_news = identity.incarnation > self.tombstone(&identity.host).leaving_up_to;
                self.add_tombstone(&identity.host, identity.incarnation, identity.incarnation);
                is_news
            }
        }
    }

    /// Applies a row of the host list, and returns whether the host is leaving and was not known to
    /// be.
    ///
    /// The row names no incarnation. A mark that the list begins to show is bound to the present
    /// incarnation if that has been known for longer than the list may lag. Any other mark may
    /// concern an earlier process: it is cleared when a later incarnation becomes known, or by
    /// `clear_withdrawn_list_marks`.
    pub(crate) fn on_list_row(&mut self, row: &HostRow, list_lag: Duration, now: Instant) -> bool {
        let tombstone = self.tombstone(&row.host);
        let record = self.records.entry(row.host.clone()).or_insert_with(|| {
            let mut record = PeerRecord::from_list_row(row, now);
            record.leaving_up_to = tombstone.leaving_up_to;
            record
        });
        let was_leaving = record.is_leaving();
        if record.description.incarnation == 0 || record.is_suspect() {
            record.description.callers = row.callers.clone();
            record.description.peers = row.peers.clone();
            record.description.data_centre = row.data_centre.clone();
            record.description.size = row.size;
        }
        let previous_state = record.list_state.replace(row.state);
        match row.state {
            HostState::Live => {
                record.list_live_since.get_or_insert(now);
            }
            HostState::Leaving if previous_state == Some(HostState::Leaving) => {}
            HostState::Leaving => {
                record.list_live_since = None;
                let is_past_lag = now.saturating_duration_since(record.known_since) >= list_lag;
                let is_new_mark = previous_state == Some(HostState::Live);
                if is_new_mark && is_past_lag && record.description.incarnation > 0 {
                    record.leaving_up_to = record.leaving_up_to.max(record.description.incarnation);
                } else {
                    record.has_list_mark = true;
                }
            }
        }
        record.is_leaving() && !was_leaving
    }

    /// Clears the list state of the hosts that the latest list does not name.
    pub(crate) fn clear_unlisted(&mut self, listed_hosts: &BTreeSet<&str>) {
        for (host, record) in &mut self.records {
            if !listed_hosts.contains(host.as_str()) {
                record.list_state = None;
                record.list_live_since = None;
            }
        }
    }

    /// Clears the list marks that are bound to no incarnation, of hosts that the list has shown as
    /// live for at least `hold`.
    pub(crate) fn clear_withdrawn_list_marks(&mut self, hold: Duration, now: Instant) {
        for record in self.records.values_mut() {
            let since = record.list_live_since;
            if since.is_some_and(|since| now.saturating_duration_since(since) >= hold) {
                record.has_list_mark = false;
            }
        }
    }

    /// Makes a process a suspect, and returns whether it was not one before.
    pub(crate) fn mark_suspect(&mut self, identity: &PeerIdentity, now: Instant) -> bool {
        match self.records.get_mut(&identity.host) {
            Some(record) if record.description.incarnation == identity.incarnation => {
                let is_news = record.suspect_since.is_none();
                record.suspect_since.get_or_insert(now);
                self.suspects.insert(identity.host.clone());
                is_news
            }
            _ => false,
        }
    }

    /// Removes the hosts that the list does not name and that have been suspects for at least
    /// `retention`, and returns them.
    pub(crate) fn remove_unlisted_suspects(
        &mut self,
        retention: Duration,
        now: Instant,
    ) -> Vec<HostId> {
        let removed: Vec<_> = self
            .records
            .iter()
            .filter(|(_, record)| record.list_state.is_none())
            .filter(|(_, record)| {
                let since = record.suspect_since;
                since.is_some_and(|since| now.saturating_duration_since(since) >= retention)
            })
            .map(|(host, _)| host.clone())
            .collect();
        for host in &removed {
            self.suspects.remove(host);
            if let Some(record) = self.records.remove(host) {
                self.add_tombstone(host, record.description.incarnation, record.leaving_up_to);
            }
        }
        removed
    }

    /// True if more than half of the peers that are not leaving are suspects.
    pub(crate) fn has_suspect_majority(&self) -> bool {
        if self.suspects.is_empty() {
            return false;
        }
        let serving = self.records.values().filter(|record| !record.is_leaving());
        let (all, suspects) = serving.fold((0, 0), |(all, suspects), record| {
            (all + 1, suspects + usize::from(record.is_suspect()))
        });
        suspects * 2 > all
    }

    /// Returns the record of a host.
    pub(crate) fn get(&self, host: &str) -> Option<&PeerRecord> {
        self.records.get(host)
    }

    /// Returns all records, ordered by host.
    pub(crate) fn records(&self) -> impl Iterator<Item = &PeerRecord> {
        self.records.values()
    }

    /// Returns the hosts whose process is a suspect.
    pub(crate) fn suspects(&self) -> &BTreeSet<HostId> {
        &self.suspects
    }

    /// Returns the number of other hosts.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    fn tombstone(&self, host: &str) -> Tombstone {
        self.tombstones.get(host).copied().unwrap_or_default()
    }

    fn add_tombstone(
        &mut self,
        host: &str,
        latest_incarnation: Incarnation,
        leaving_up_to: Incarnation,
    ) {
        let known_tombstone = self.tombstone(host);
        let tombstone = Tombstone {
            latest_incarnation: latest_incarnation.max(known_tombstone.latest_incarnation),
            leaving_up_to: leaving_up_to.max(known_tombstone.leaving_up_to),
        };
        self.tombstones.insert(host.to_string(), tombstone);
        if self.tombstones.len() > MAX_TOMBSTONES {
            let tombstones = self.tombstones.iter();
            let oldest = tombstones.min_by_key(|(_, tombstone)| tombstone.latest_incarnation);
            if let Some(host) = oldest.map(|(host, _)| host.clone()) {
                self.tombstones.remove(&host);
            }
        }
    }
}

/// Replaces the incarnation of a record by a later one. If no incarnation was known before, the
/// list mark and the suspicion may concern this process, so that they stay.
fn replace_incarnation(record: &mut PeerRecord, description: &PeerInfo, now: Instant) {
    if record.description.incarnation > 0 {
        record.has_list_mark = false;
        record.suspect_since = None;
    }
    record.description = description.clone();
    record.known_since = now;
    record.last_contact = None;
}
