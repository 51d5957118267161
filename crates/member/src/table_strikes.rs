use {
    crate::{MemberTable, TargetStrike},
    std::time::Instant,
};

impl MemberTable {
    /// Returns the strikes that peers reported and that have not expired.
    pub fn peer_strikes(&self, now: Instant) -> Vec<TargetStrike> {
        self.strikes.peer_strikes(now)
    }
}
