use {
    crate::{MemberAction, MemberEvent, MemberTable},
    base::{HostList, HostRow, HostState, TargetId},
    stamp::HybridTime,
    std::{collections::BTreeSet, time::Instant},
    wire::{MarkSource, PeerIdentity, PeerRumour},
};

impl MemberTable {
    /// Applies the platform's host list as just read. `since` is the present hybrid time.
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
                self.on_peer_row(row, now);
            }
        }
        let listed_hosts = list.hosts.iter().map(|row| row.host.as_str()).collect();
        self.peers.clear_unlisted(&listed_hosts);
        let leaving_before = self.targets.leaving_targets();
        let list_lag = self.settings.list_lag;
        let rumours = self
            .targets
            .on_host_list(&list.targets, since, list_lag, now);
        self.queue_rumours(rumours);
        self.report_target_changes(leaving_before, MarkSource::HostList);
        self.take_actions()
    }

    /// Applies the targets that the sheet just put in force marks as leaving. `since` is the present
    /// hybrid time.
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
        let leaving_before = self.targets.leaving_targets();
        let rumours = self.targets.on_sheet(leaving, since, now);
        self.queue_rumours(rumours);
        self.report_target_changes(leaving_before, MarkSource::Sheet);
        self.take_actions()
    }

    /// Reports every target that is leaving now and was not in `leaving_before`, or the reverse.
    pub(crate) fn report_target_changes(
        &mut self,
        leaving_before: BTreeSet<TargetId>,
        source: MarkSource,
    ) {
        let after = self.targets.leaving_targets();
        for target in after.symmetric_difference(&leaving_before) {
            self.report_target_change(target, source, leaving_before.contains(target));
        }
    }

    fn on_peer_row(&mut self, row: &HostRow, now: Instant) {
        if !self.peers.on_list_row(row, self.settings.list_lag, now) {
            return;
        }
        let Some(record) = self.peers.get(&row.host) else {
            return;
        };
        let key = PeerIdentity {
            host: row.host.clone(),
            incarnation: record.description.incarnation,
        };
        if record.is_incarnation_leaving() {
            self.queue_rumour(PeerRumour::HostLeaving(key.clone()), None);
        }
        self.report_event(MemberEvent::Leaving {
            host: key.host,
            incarnation: key.incarnation,
        });
    }

    /// Applies the row of this host. As for a peer, a leaving mark concerns this process only if
    /// the list showed the host as live before and the process is older than `list_lag`.
    fn on_own_row(&mut self, row: &HostRow, now: Instant) {
        let previous_state = self.own_list_state.replace(row.state);
        let is_new_mark =
            previous_state == Some(HostState::Live) && row.state == HostState::Leaving;
        let is_past_lag = now.saturating_duration_since(self.started) >= self.settings.list_lag;
        if is_new_mark && is_past_lag {
            self.report_self_leaving();
        }
    }

    /// Reports that this process has to leave, the first time only.
    pub(crate) fn report_self_leaving(&mut self) {
        if !std::mem::replace(&mut self.is_told_to_leave, true) {
            self.report_event(MemberEvent::SelfLeaving);
        }
    }
}
