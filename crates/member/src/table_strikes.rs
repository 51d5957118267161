use {
    crate::{Fingerprint, MemberTable},
    base::HostId,
    std::time::Instant,
};

impl MemberTable {
    /// Strikes that other daemons witnessed: fingerprint, witness, number.
    pub fn foreign_strikes(&self, now: Instant) -> Vec<(Fingerprint, HostId, u8)> {
        let mut strikes = self.strikes.witnessed_strikes(now);
        strikes.retain(|(_, witness, _)| *witness != self.own.host);
        strikes
    }
}
