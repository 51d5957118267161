use {
    crate::{MemberAction, MemberEvent, MemberTable},
    std::time::{Duration, Instant},
    wire::{DatagramSeal, MarkSource, PeerMessage, PeerRumour},
};

/// Number of times that a suspicion or its end is sent for every doubling of the fleet size.
const SUSPECT_RUMOUR_FACTOR: u32 = 2;
/// Size of the IP and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;
/// Time between two clean-ups of expired state.
const PRUNE_INTERVAL: Duration = Duration::from_secs(5);
/// Shortest time between two probes of queued hosts.
pub(crate) const QUEUED_PROBE_INTERVAL: Duration = Duration::from_millis(100);

impl MemberTable {
    /// Does what is due: heartbeats, probes, suspicions, pulls and clean-up.
    ///
    /// ```
    /// # use {member::{MemberSettings, MemberTable}, std::time::{Duration, Instant}};
    /// # let about = wire::PeerInfo::new("h1", 1, "dc1", "10.0.0.1:80", "10.0.0.1:81");
    /// # let now = Instant::now();
    /// # let mut table = MemberTable::new(MemberSettings::default(), about, 7, now);
    /// table.on_tick(now);
    /// let wakeup = table.next_wakeup(now);
    /// assert!(wakeup > now && wakeup <= now + Duration::from_secs(1));
    /// ```
    pub fn on_tick(&mut self, now: Instant) -> Vec<MemberAction> {
        self.check_pause(now);
        self.end_probes(now);
        self.start_probes(now);
        self.start_round(now);
        self.pull_facts(now);
        self.clean_up(now);
        self.report_view_doubt();
        self.take_actions()
    }

    /// Returns when the next tick is due. Any other call may bring it forward.
    pub fn next_wakeup(&self, now: Instant) -> Instant {
        let round = self.pace.next_round(self.round_interval(now));
        let probe = self.last_probe.map(|last| last + self.settings.probe_round);
        let queued_probe = self
            .last_queued_probe
            .map(|last| last + QUEUED_PROBE_INTERVAL);
        let queued_probe = queued_probe.filter(|_| self.probes.has_queued_hosts());
        let listen_end = self.listen_until.filter(|until| *until > now);
        let probe_times = [probe, queued_probe, self.probes.next_deadline()];
        let next_probe = match listen_end {
            Some(until) => Some(until),
            None => probe_times.into_iter().flatten().min(),
        };
        let pull = self.pulls.next_due_time();
        [round, next_probe, pull]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(now)
    }

    /// Drops all probes after a pause of this process and starts none while it only listens. The
    /// answers may have come during the pause, so that their absence is no sign of a failed peer.
    fn check_pause(&mut self, now: Instant) {
        let last = self.last_tick.replace(now);
        let pause = last.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        if pause > self.settings.lease {
            self.probes.clear();
            self.listen_until = Some(now + self.settings.listen);
            self.report_event(MemberEvent::Paused { pause });
        }
    }

    /// True during the time after a pause in which no probes are started.
    pub(crate) fn is_listening(&self, now: Instant) -> bool {
        self.listen_until.is_some_and(|until| until > now)
    }

    fn clean_up(&mut self, now: Instant) {
        if !is_due(self.last_prune, PRUNE_INTERVAL, now) {
            return;
        }
        self.last_prune = Some(now);
        self.strikes.prune(now);
        self.targets.prune(now);
        self.peers
            .clear_withdrawn_list_marks(self.settings.live_hold, now);
        let leaving_before = self.targets.leaving_targets();
        let rumours = self
            .targets
            .clear_withdrawn_list_marks(self.settings.live_hold, now);
        self.queue_rumours(rumours);
        self.report_target_changes(leaving_before, MarkSource::HostList);
        for host in self
            .peers
            .remove_unlisted_suspects(self.settings.forget_after, now)
        {
            self.report_event(MemberEvent::Gone { host });
        }
    }

    fn report_view_doubt(&mut self) {
        let is_view_doubted = self.peers.has_suspect_majority();
        if std::mem::replace(&mut self.is_view_doubted, is_view_doubted) != is_view_doubted {
            self.report_event(if is_view_doubted {
                MemberEvent::ViewDoubted
            } else {
                MemberEvent::ViewTrusted
            });
        }
    }

    /// Queues a rumour, to be sent as often as it takes to reach every member.
    pub(crate) fn queue_rumour(&mut self, rumour: PeerRumour, expires: Option<Instant>) {
        let doublings = (self.peers.len() + 1).ilog2() + 1;
        // Every member whose own probes show the same starts this rumour too, so that each needs to
        // send it less often.
        let factor = match rumour {
            PeerRumour::HostSuspect(_) | PeerRumour::HostRevived(_) => SUSPECT_RUMOUR_FACTOR,
            _ => self.settings.rumour_factor,
        };
        self.rumours.push(rumour, factor * doublings, expires);
    }

    pub(crate) fn queue_rumours(&mut self, rumours: Vec<PeerRumour>) {
        for rumour in rumours {
            self.queue_rumour(rumour, None);
        }
    }

    pub(crate) fn send(&mut self, to: String, message: PeerMessage) {
        self.pace
            .record_sent(DatagramSeal::sealed_bytes(&message) + HEADER_BYTES);
        self.pending_actions
            .push(MemberAction::Send { to, message });
    }
}

/// True if at least `interval` has passed since `last`, or there was no last time.
pub(crate) fn is_due(last: Option<Instant>, interval: Duration, now: Instant) -> bool {
    last.is_none_or(|last| now.saturating_duration_since(last) >= interval)
}
