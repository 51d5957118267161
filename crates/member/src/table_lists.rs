use {
    crate::{MemberAction, MemberEvent, MemberTable},
    base::{HostList, HostRow, HostState, TargetId},
    stamp::HybridTime,
    std::{collections::BTreeSet, time::Instant},
    wire::{MarkSource, PeerIdentity, PeerRumour},
};

impl MemberTable {
    /// Takes in the platform's host list as it was just read; `since` is the present hybrid time.
    ///
    /// ```
    /// # use {member::{MemberSettings, MemberTable}, std::time::{Duration, Instant}};
    /// # let about = wire::PeerInfo::new("h1", 1, "dc1", "10.0.0.1:80", "10.0.0.1:81");
    /// # let now = Instant::now();
    /// # let mut table = MemberTable::new(MemberSettings::default(), about, 7, now);
    /// use {base::{HostList, HostRow, HostState}, stamp::HybridTime};
    /// let row = HostRow {
    ///     host: String::from("h2"),
    ///     data_centre: String::from("dc1"),
    ///     callers: String::from("10.0.0.2:80"),
    ///     peers: String::from("10.0.0.2:81"),
    ///     size: 1,
    ///     state: HostState::Live,
    /// };
    /// let list = HostList { hosts: vec![row], targets: Vec::new() };
    /// table.on_host_list(list, HybridTime::new(5, 0), now);
    /// assert!(table.is_live_entry("h2"));
    /// ```
    pub fn on_host_list(
        &mut self,
        list: HostList,
        since: HybridTime,
        now: Instant,
    ) -> Vec<MemberAction> {
        for row in &list.hosts {
            if row.host == self.own.host {
                self.on_own_row(row, now);
            } else {
                self.on_other_row(row, now);
            }
        }
        let named = list.hosts.iter().map(|row| row.host.as_str()).collect();
        self.peers.on_list_end(&named);
        let before = self.targets.leaving();
        let lag = self.settings.list_lag;
        let rumours = self.targets.on_list(&list.targets, since, lag, now);
        self.tell_all(rumours);
        self.note_targets(before, MarkSource::HostList);
        self.flush()
    }

    /// Takes in the targets that the sheet just put in force marks as leaving; `since` is the
    /// present hybrid time.
    ///
    /// ```
    /// # use {member::{MemberSettings, MemberTable}, std::time::{Duration, Instant}};
    /// # let about = wire::PeerInfo::new("h1", 1, "dc1", "10.0.0.1:80", "10.0.0.1:81");
    /// # let now = Instant::now();
    /// # let mut table = MemberTable::new(MemberSettings::default(), about, 7, now);
    /// use {stamp::HybridTime, std::collections::BTreeSet};
    /// let leaving = BTreeSet::from([String::from("t1")]);
    /// table.on_sheet_targets(leaving, HybridTime::new(5, 0), now);
    /// assert!(table.is_target_leaving("t1"));
    /// table.on_sheet_targets(BTreeSet::new(), HybridTime::new(6, 0), now);
    /// assert!(!table.is_target_leaving("t1"));
    /// ```
    pub fn on_sheet_targets(
        &mut self,
        leaving: BTreeSet<TargetId>,
        since: HybridTime,
        now: Instant,
    ) -> Vec<MemberAction> {
        let before = self.targets.leaving();
        let rumours = self.targets.on_sheet(leaving, since, now);
        self.tell_all(rumours);
        self.note_targets(before, MarkSource::Sheet);
        self.flush()
    }

    /// Reports every target whose state differs from before.
    pub(crate) fn note_targets(&mut self, before: BTreeSet<TargetId>, source: MarkSource) {
        let after = self.targets.leaving();
        for target in after.symmetric_difference(&before) {
            self.note_target(target, source, before.contains(target));
        }
    }

    fn on_other_row(&mut self, row: &HostRow, now: Instant) {
        if !self.peers.on_row(row, self.settings.list_lag, now) {
            return;
        }
        let Some(record) = self.peers.get(&row.host) else {
            return;
        };
        let key = PeerIdentity {
            host: row.host.clone(),
            incarnation: record.about.incarnation,
        };
        if record.is_bound_leaving() {
            self.tell(PeerRumour::HostLeaving(key.clone()), None);
        }
        self.changed(MemberEvent::Leaving {
            host: key.host,
            incarnation: key.incarnation,
        });
    }

    /// A mark on this very host counts under the same rules as one on a peer.
    fn on_own_row(&mut self, row: &HostRow, now: Instant) {
        let before = self.self_listed.replace(row.state);
        let begins = before == Some(HostState::Live) && row.state == HostState::Leaving;
        let known = now.saturating_duration_since(self.started) >= self.settings.list_lag;
        if begins && known {
            self.told_leaving();
        }
    }

    /// Reports once that this process is to leave.
    pub(crate) fn told_leaving(&mut self) {
        if !std::mem::replace(&mut self.told_to_leave, true) {
            self.changed(MemberEvent::SelfLeaving);
        }
    }
}
