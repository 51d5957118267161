use {
    crate::{MemberTable, TargetStrike},
    std::time::Instant,
};

impl MemberTable {
    /// Strikes that other daemons told of.
    pub fn peer_strikes(&self, now: Instant) -> Vec<TargetStrike> {
        self.strikes.foreign(now)
    }
}
