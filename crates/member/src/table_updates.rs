use {
    crate::{
        Fingerprint, MemberAction, MemberEvent, MemberTable, TargetStrike,
        strike_registry::StrikeOrigin, table_queries::saturating_millis,
    },
    stamp::HybridTime,
    std::time::Instant,
    wire::{MarkSource, PeerRumour},
};

impl MemberTable {
    /// Marks a target as leaving for a source, at the hybrid time `since`. Changes nothing if the
    /// source marks it already.
    pub fn mark_target_leaving(
        &mut self,
        target: &str,
        source: MarkSource,
        since: HybridTime,
        now: Instant,
    ) -> Vec<MemberAction> {
        let was_leaving = self.targets.is_leaving(target);
        let rumours = self.targets.mark_leaving(target, source, since, now);
        self.queue_rumours(rumours);
        self.report_target_change(target, source, was_leaving);
        self.take_actions()
    }

    /// Clears the marks of all sources on a target, for an operator. `since` must be this daemon's
    /// present hybrid time, so that it is later than all marks seen here.
    pub fn clear_target_leaving(
        &mut self,
        target: &str,
        since: HybridTime,
        now: Instant,
    ) -> Vec<MemberAction> {
        let was_leaving = self.targets.is_leaving(target);
        let rumours = self.targets.clear_all_sources(target, since, now);
        self.queue_rumours(rumours);
        self.report_target_change(target, MarkSource::Operator, was_leaving);
        self.take_actions()
    }

    /// Applies the target's own statement that it is not leaving. It clears only the target's own
    /// mark, and only if that has been known for at least `list_lag`, so that the statement can't be
    /// older than the mark.
    ///
    /// ```
    /// # use {member::{MemberSettings, MemberTable}, std::time::{Duration, Instant}};
    /// # let about = wire::PeerInfo::new("h1", 1, "dc1", "10.0.0.1:80", "10.0.0.1:81");
    /// # let now = Instant::now();
    /// # let mut table = MemberTable::new(MemberSettings::default(), about, 7, now);
    /// use {stamp::HybridTime, wire::MarkSource};
    /// let since = HybridTime::new(5, 0);
    /// table.mark_target_leaving("t1", MarkSource::Target, since, now);
    /// table.on_target_live("t1", now);
    /// assert!(table.is_target_leaving("t1"), "the statement may be older than the mark");
    /// table.on_target_live("t1", now + Duration::from_secs(60));
    /// assert!(!table.is_target_leaving("t1"));
    /// ```
    pub fn on_target_live(&mut self, target: &str, now: Instant) -> Vec<MemberAction> {
        let was_leaving = self.targets.is_leaving(target);
        let hold = self.settings.list_lag;
        let rumours = self.targets.on_target_live(target, hold, now);
        self.queue_rumours(rumours);
        self.report_target_change(target, MarkSource::Target, was_leaving);
        self.take_actions()
    }

    /// Records that a target has died under a request and how often so far, and queues a rumour of
    /// it. Returns the sum of the strikes against the fingerprint.
    ///
    /// ```
    /// # use {member::{MemberSettings, MemberTable}, std::time::{Duration, Instant}};
    /// # let about = wire::PeerInfo::new("h1", 1, "dc1", "10.0.0.1:80", "10.0.0.1:81");
    /// # let now = Instant::now();
    /// # let mut table = MemberTable::new(MemberSettings::default(), about, 7, now);
    /// use {member::TargetStrike, stamp::HybridTime, wire::StrikeVictim};
    /// let strike = TargetStrike {
    ///     fingerprint: [9; 16],
    ///     victim: StrikeVictim { target: 7, stage: 0 },
    ///     strikes: 1,
    ///     expires: now + Duration::from_secs(60),
    /// };
    /// assert_eq!(table.record_strike(strike, HybridTime::new(5, 0), now), 1);
    /// assert_eq!(table.strikes(&[9; 16], strike.expires), 0);
    /// ```
    pub fn record_strike(&mut self, strike: TargetStrike, at: HybridTime, now: Instant) -> u8 {
        let rumour = PeerRumour::Strike {
            fingerprint: strike.fingerprint,
            victim: strike.victim,
            strikes: strike.strikes,
            at,
            remaining_ms: saturating_millis(strike.expires.saturating_duration_since(now)),
        };
        self.apply_strike_rumour(rumour, StrikeOrigin::Own, now);
        self.strikes.total_strikes(&strike.fingerprint, now)
    }

    /// Clears all strikes against a fingerprint up to `at`, since a request with it succeeded. Until
    /// `expires`, rumours of strikes up to `at` are ignored.
    ///
    /// ```
    /// # use {member::{MemberSettings, MemberTable}, std::time::{Duration, Instant}};
    /// # let about = wire::PeerInfo::new("h1", 1, "dc1", "10.0.0.1:80", "10.0.0.1:81");
    /// # let now = Instant::now();
    /// # let mut table = MemberTable::new(MemberSettings::default(), about, 7, now);
    /// use {member::TargetStrike, stamp::HybridTime, wire::StrikeVictim};
    /// let expires = now + Duration::from_secs(60);
    /// let victim = StrikeVictim { target: 7, stage: 0 };
    /// let strike = TargetStrike { fingerprint: [9; 16], victim, strikes: 1, expires };
    /// table.record_strike(strike, HybridTime::new(5, 0), now);
    /// table.clear_strikes([9; 16], HybridTime::new(6, 0), expires, now);
    /// assert_eq!(table.strikes(&[9; 16], now), 0);
    /// ```
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
            remaining_ms: saturating_millis(expires.saturating_duration_since(now)),
        };
        self.apply_strike_rumour(cleared, StrikeOrigin::Own, now);
    }

    /// Reports the target if it was leaving and no longer is, or the reverse.
    pub(crate) fn report_target_change(
        &mut self,
        target: &str,
        source: MarkSource,
        was_leaving: bool,
    ) {
        let target = target.to_string();
        match (was_leaving, self.targets.is_leaving(&target)) {
            (false, true) => self.report_event(MemberEvent::TargetLeaving { target, source }),
            (true, false) => self.report_event(MemberEvent::TargetCleared { target }),
            _ => {}
        }
    }
}
