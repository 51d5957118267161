use {
    crate::{
        dialect::{StoreChanges, StoreItem},
        state::{
            AnswerOrigin, StoreReplica, read_phase::ReadPhase, store_contents::ERA_SETTLE_TIME,
        },
    },
    plan::{BootTime, PlanEvidence, PlanVersion, StoreEra, StorePosition},
    std::time::{Duration, Instant},
};

/// Time after the start of the process or of an era within which its evidence is withdrawn if a peer
/// has a later configuration.
const NEWCOMER_TIME: Duration = Duration::from_millis(6_000);

/// Time after the start of the process within which it must have heard of a peer, if there is one: it goes by the
/// store alone from then on.
const PEER_WAIT: Duration = Duration::from_millis(1_000);

/// How the position that a peer knows compares with the one that this entry knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerPosition {
    /// The peer knows the same position or an earlier one.
    NotLater,
    /// The peer knows a later position.
    Later,
}

/// What the replica learns from peers.
impl StoreReplica {
    /// Records that a peer had the store's first answer after an outage some time ago, so that
    /// targets which expired in the outage are kept here as well until they can register again.
    pub fn on_peer_return(&mut self, returned_ago: Duration, now: Instant) {
        self.store_returned_at = self.store_returned_at.max(now.checked_sub(returned_ago));
    }

    /// Applies changes that a peer passed on. They begin after the position `from`; they are
    /// ignored if this entry lacks changes before it.
    pub fn on_peer_changes(
        &mut self,
        from: StorePosition,
        changes: StoreChanges,
        era: StoreEra,
        now: Instant,
    ) {
        if self.is_watching() && from.era == self.position.era && from <= self.position {
            let origin = AnswerOrigin {
                era,
                called_at: None,
            };
            self.apply_changes(changes, origin, now);
        }
    }

    /// Applies all items of the store as a peer knows them at a later position.
    pub fn on_peer_snapshot(
        &mut self,
        position: StorePosition,
        items: Vec<StoreItem>,
        now: Instant,
    ) {
        if position <= self.position || !self.accept_era(position.era, now) {
            return;
        }
        let origin = AnswerOrigin {
            era: position.era,
            called_at: None,
        };
        self.position = position;
        self.phase = ReadPhase::Watching;
        self.apply_full_read(items, origin, now);
        self.next_at = now;
    }

    /// Records that at the time `confirmed_at` a peer knew `position` to be the latest one of the
    /// store. If this entry knows all changes up to it, that also confirms the configuration in
    /// force here. A position of an earlier era confirms nothing.
    pub fn on_peer_position(
        &mut self,
        position: StorePosition,
        confirmed_at: BootTime,
        now: Instant,
    ) -> PeerPosition {
        if position > self.position {
            return PeerPosition::Later;
        }
        if self.is_watching() && position.era == self.position.era {
            self.confirm_by_peer(confirmed_at, now);
        }
        PeerPosition::NotLater
    }

    /// Records that by a peer's evidence the configuration in force was the latest one at the given
    /// time.
    ///
    /// Only a peer that has evidence vouches for the store: one that was there before the present era,
    /// that has waited until the operator can have written again, or that another such peer has vouched to.
    /// A peer that has just started and read the same copy has none.
    fn confirm_by_peer(&mut self, confirmed_at: BootTime, now: Instant) {
        match self.has_seen_era_begin {
            true => self.confirm(Some(confirmed_at), now),
            false => self.renew_evidence(Some(confirmed_at)),
        }
    }

    /// Returns for how long answers of the store could have been evidence here; `None` while they
    /// cannot be.
    pub fn could_confirm_for(&self, now: Instant) -> Option<Duration> {
        if self.awaits_peers || !self.is_watching() || self.is_era_new(now) {
            return None;
        }
        let begun_at = self.era_begun_at.map(|begun_at| begun_at + ERA_SETTLE_TIME);
        Some(now.saturating_duration_since(begun_at.unwrap_or(self.started_at)))
    }

    /// Has the replica take no answer as evidence until the process has heard of a peer: alone it cannot tell
    /// whether the store has come back from an older copy before the start.
    pub fn await_peers(&mut self) {
        self.awaits_peers = true;
    }

    /// Takes the evidence that was held back, once the process has heard of a live peer, whose configuration
    /// [`Self::on_peer_plan`] has recorded, or has waited long enough.
    pub fn heed_peers(&mut self, has_live_peer: bool, now: Instant) {
        let is_over = has_live_peer || now >= self.started_at + PEER_WAIT;
        if self.awaits_peers && is_over {
            self.awaits_peers = false;
            let held_back = self.held_back.take();
            self.confirm(held_back, now);
        }
    }

    /// Records the latest version of the configuration that a live peer has in force. Until it is
    /// known here too, answers of the store are no evidence that the configuration is the latest
    /// one: the store may have come back from an older copy.
    ///
    /// Evidence of the first seconds of the process or of an era is withdrawn, since it rests on a
    /// single copy of the store. Later on a peer is merely ahead for a moment.
    pub fn on_peer_plan(&mut self, version: PlanVersion, now: Instant) {
        self.latest_peer_plan = version;
        let begun_at = self.era_begun_at.unwrap_or(self.started_at);
        if version > self.known_plan() && now < begun_at + NEWCOMER_TIME {
            self.view.evidence = PlanEvidence::default();
        }
    }
}
