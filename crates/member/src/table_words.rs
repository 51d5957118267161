use {
    crate::{
        Fingerprint, MemberAction, MemberEvent, MemberTable, TargetStrike,
        strike_book::StrikeOrigin, table_queries::milliseconds,
    },
    stamp::HybridTime,
    std::time::Instant,
    wire::{MarkSource, PeerRumour},
};

impl MemberTable {
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
    ///
    /// ```
    /// # use {member::{MemberSettings, MemberTable}, std::time::{Duration, Instant}};
    /// # let about = wire::PeerSelf::new("h1", 1, "dc1", "10.0.0.1:80", "10.0.0.1:81");
    /// # let now = Instant::now();
    /// # let mut table = MemberTable::new(MemberSettings::default(), about, 7, now);
    /// use {stamp::HybridTime, wire::MarkSource};
    /// let since = HybridTime::new(5, 0);
    /// table.mark_target_leaving("t1", MarkSource::Target, since, now);
    /// table.note_target_live("t1", now);
    /// assert!(table.is_target_leaving("t1"), "that word may be older than the mark");
    /// table.note_target_live("t1", now + Duration::from_secs(60));
    /// assert!(!table.is_target_leaving("t1"));
    /// ```
    pub fn note_target_live(&mut self, target: &str, now: Instant) -> Vec<MemberAction> {
        let was = self.targets.is_leaving(target);
        let hold = self.settings.list_lag;
        let rumours = self.targets.target_live(target, hold, now);
        self.tell_all(rumours);
        self.note_target(target, MarkSource::Target, was);
        self.flush()
    }

    /// Tells peers that a target has died under a request, and how often so far; the answer is the
    /// sum of the strikes against the fingerprint.
    ///
    /// ```
    /// # use {member::{MemberSettings, MemberTable}, std::time::{Duration, Instant}};
    /// # let about = wire::PeerSelf::new("h1", 1, "dc1", "10.0.0.1:80", "10.0.0.1:81");
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
            remaining_ms: milliseconds(strike.expires.saturating_duration_since(now)),
        };
        self.absorb_strike(rumour, StrikeOrigin::Own, now);
        self.strikes.strikes(&strike.fingerprint, now)
    }

    /// Voids all strikes against a fingerprint, whose request ended well.
    ///
    /// ```
    /// # use {member::{MemberSettings, MemberTable}, std::time::{Duration, Instant}};
    /// # let about = wire::PeerSelf::new("h1", 1, "dc1", "10.0.0.1:80", "10.0.0.1:81");
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
            remaining_ms: milliseconds(expires.saturating_duration_since(now)),
        };
        self.absorb_strike(cleared, StrikeOrigin::Own, now);
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
}
