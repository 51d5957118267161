use {
    crate::peer_record::PeerRecord,
    base::{HostId, HostRow, HostState, Incarnation},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    wire::{PeerIdentity, PeerInfo},
};

/// Most forgotten hosts that are remembered by their last incarnations.
const MAX_DEPARTED: usize = 4_096;

/// All other hosts, and the rules by which words on them replace each other: a later incarnation
/// replaces an earlier one, and an incarnation that is leaving never comes back.
#[derive(Debug, Default)]
pub(crate) struct PeerBook {
    records: BTreeMap<HostId, PeerRecord>,
    suspects: BTreeSet<HostId>,
    departed: BTreeMap<HostId, DepartedMark>,
}

/// What must not be forgotten of a host that was forgotten.
#[derive(Debug, Clone, Copy, Default)]
struct DepartedMark {
    /// Its latest incarnation; an earlier one is old news.
    latest: Incarnation,
    /// Incarnations up to this one are leaving.
    leaving_up_to: Incarnation,
}

/// What a word on a host changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct PeerNews {
    /// The host or its incarnation was not known.
    pub(crate) fresh: bool,
    /// It was a suspect and is none any more.
    pub(crate) revived: bool,
    /// It is leaving and was not known to be.
    pub(crate) leaving: bool,
    /// Others can't know it from the host list: it replaces a process or is not listed.
    pub(crate) unlisted: bool,
}

impl PeerBook {
    /// Takes in a process's own description, direct or passed on.
    pub(crate) fn on_report(&mut self, about: &PeerInfo, direct: bool, now: Instant) -> PeerNews {
        let mut news = PeerNews::default();
        let departed = self.departed(&about.host);
        if about.incarnation < departed.latest {
            return news;
        }
        let record = self.records.entry(about.host.clone()).or_insert_with(|| {
            let mut record = PeerRecord::reported(about, now);
            record.about.incarnation = 0;
            record.leaving_up_to = departed.leaving_up_to;
            record
        });
        if about.incarnation < record.about.incarnation {
            return news;
        }
        let was_leaving = record.is_leaving();
        if about.incarnation > record.about.incarnation {
            news.fresh = true;
            news.unlisted = record.about.incarnation > 0 || record.listed.is_none();
            adopt_incarnation(record, about, now);
        } else if direct {
            record.about = about.clone();
        } else if about.sheet_version > record.about.sheet_version {
            record.about.sheet_version = about.sheet_version;
            record.about.sheet_digest = about.sheet_digest;
        }
        if direct {
            record.heard = Some(now);
            news.revived = record.suspect_since.take().is_some();
        }
        if !record.is_suspect() {
            self.suspects.remove(&about.host);
        }
        if about.leaving {
            record.leaving_up_to = record.leaving_up_to.max(about.incarnation);
        }
        news.leaving = record.is_leaving() && (news.fresh || !was_leaving);
        news
    }

    /// Takes in a sign of life of a process.
    pub(crate) fn on_sign(&mut self, key: &PeerIdentity, now: Instant) -> PeerNews {
        let mut news = PeerNews::default();
        let departed = self.departed(&key.host);
        let Some(record) = self.records.get_mut(&key.host) else {
            return news;
        };
        if key.incarnation < record.about.incarnation.max(departed.latest) {
            return news;
        }
        if key.incarnation > record.about.incarnation {
            let about = PeerInfo {
                incarnation: key.incarnation,
                leaving: false,
                sheet_version: 0,
                sheet_digest: [0; 8],
                ..record.about.clone()
            };
            news.fresh = true;
            news.unlisted = record.about.incarnation > 0 || record.listed.is_none();
            adopt_incarnation(record, &about, now);
        }
        record.heard = Some(now);
        news.revived = record.suspect_since.take().is_some();
        self.suspects.remove(&key.host);
        news
    }

    /// Takes in word that a process is leaving; the answer is true if that was news.
    pub(crate) fn on_leaving(&mut self, key: &PeerIdentity) -> bool {
        match self.records.get_mut(&key.host) {
            Some(record) => {
                let news = key.incarnation > record.leaving_up_to;
                record.leaving_up_to = record.leaving_up_to.max(key.incarnation);
                news
            }
            None => {
                let news = key.incarnation > self.departed(&key.host).leaving_up_to;
                self.depart(&key.host, key.incarnation, key.incarnation);
                news
            }
        }
    }

    /// Takes in a row of the host list; the answer is true if the host is leaving and was not
    /// known to be.
    ///
    /// The row names no incarnation. A mark that the list begins to show is bound to the process
    /// that was known for longer than the list may lag. Any other mark may concern an earlier
    /// process: it ends when a later process is heard of, or by `settle`.
    pub(crate) fn on_row(&mut self, row: &HostRow, lag: Duration, now: Instant) -> bool {
        let departed = self.departed(&row.host);
        let record = self.records.entry(row.host.clone()).or_insert_with(|| {
            let mut record = PeerRecord::listed(row, now);
            record.leaving_up_to = departed.leaving_up_to;
            record
        });
        let was_leaving = record.is_leaving();
        if record.about.incarnation == 0 || record.is_suspect() {
            record.about.callers = row.callers.clone();
            record.about.peers = row.peers.clone();
            record.about.data_centre = row.data_centre.clone();
            record.about.size = row.size;
        }
        let before = record.listed.replace(row.state);
        match row.state {
            HostState::Live => {
                record.list_live_since.get_or_insert(now);
            }
            HostState::Leaving if before == Some(HostState::Leaving) => {}
            HostState::Leaving => {
                record.list_live_since = None;
                let known = now.saturating_duration_since(record.known_since) >= lag;
                let begins = before == Some(HostState::Live);
                if begins && known && record.about.incarnation > 0 {
                    record.leaving_up_to = record.leaving_up_to.max(record.about.incarnation);
                } else {
                    record.list_mark = true;
                }
            }
        }
        record.is_leaving() && !was_leaving
    }

    /// Notes which hosts the latest list no longer names.
    pub(crate) fn on_list_end(&mut self, named: &BTreeSet<&str>) {
        for (host, record) in &mut self.records {
            if !named.contains(host.as_str()) {
                record.listed = None;
                record.list_live_since = None;
            }
        }
    }

    /// Takes back unbound marks of hosts that the list has shown live for the hold.
    pub(crate) fn settle(&mut self, hold: Duration, now: Instant) {
        for record in self.records.values_mut() {
            let since = record.list_live_since;
            if since.is_some_and(|since| now.saturating_duration_since(since) >= hold) {
                record.list_mark = false;
            }
        }
    }

    /// Makes a process a suspect; the answer is true if it was none.
    pub(crate) fn suspect(&mut self, key: &PeerIdentity, now: Instant) -> bool {
        match self.records.get_mut(&key.host) {
            Some(record) if record.about.incarnation == key.incarnation => {
                let news = record.suspect_since.is_none();
                record.suspect_since.get_or_insert(now);
                self.suspects.insert(key.host.clone());
                news
            }
            _ => false,
        }
    }

    /// Forgets suspects that the list does not name, and returns them.
    pub(crate) fn forget(&mut self, patience: Duration, now: Instant) -> Vec<HostId> {
        let gone: Vec<_> = self
            .records
            .iter()
            .filter(|(_, record)| record.listed.is_none())
            .filter(|(_, record)| {
                let since = record.suspect_since;
                since.is_some_and(|since| now.saturating_duration_since(since) >= patience)
            })
            .map(|(host, _)| host.clone())
            .collect();
        for host in &gone {
            self.suspects.remove(host);
            if let Some(record) = self.records.remove(host) {
                self.depart(host, record.about.incarnation, record.leaving_up_to);
            }
        }
        gone
    }

    /// True if more than half of those that should serve are suspects.
    pub(crate) fn is_doubtful(&self) -> bool {
        if self.suspects.is_empty() {
            return false;
        }
        let serving = self.records.values().filter(|record| !record.is_leaving());
        let (all, suspects) = serving.fold((0, 0), |(all, suspects), record| {
            (all + 1, suspects + usize::from(record.is_suspect()))
        });
        suspects * 2 > all
    }

    /// Record of a host.
    pub(crate) fn get(&self, host: &str) -> Option<&PeerRecord> {
        self.records.get(host)
    }

    /// All records by host.
    pub(crate) fn records(&self) -> impl Iterator<Item = &PeerRecord> {
        self.records.values()
    }

    /// Hosts whose process is a suspect.
    pub(crate) fn suspects(&self) -> &BTreeSet<HostId> {
        &self.suspects
    }

    /// Number of other hosts.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    fn departed(&self, host: &str) -> DepartedMark {
        self.departed.get(host).copied().unwrap_or_default()
    }

    fn depart(&mut self, host: &str, latest: Incarnation, leaving_up_to: Incarnation) {
        let known = self.departed(host);
        let mark = DepartedMark {
            latest: latest.max(known.latest),
            leaving_up_to: leaving_up_to.max(known.leaving_up_to),
        };
        self.departed.insert(host.to_string(), mark);
        if self.departed.len() > MAX_DEPARTED {
            let marks = self.departed.iter();
            let oldest = marks.min_by_key(|(_, mark)| mark.latest);
            if let Some(host) = oldest.map(|(host, _)| host.clone()) {
                self.departed.remove(&host);
            }
        }
    }
}

/// Replaces the process that a record is about by a later one. If no incarnation was known
/// before, what is believed of the host may be about this very process and stays.
fn adopt_incarnation(record: &mut PeerRecord, about: &PeerInfo, now: Instant) {
    if record.about.incarnation > 0 {
        record.list_mark = false;
        record.suspect_since = None;
    }
    record.about = about.clone();
    record.known_since = now;
    record.heard = None;
}
