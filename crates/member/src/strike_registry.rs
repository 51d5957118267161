use {
    stamp::HybridTime,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    wire::{PeerRumour, StrikeVictim},
};

/// Hash of the customer, pipeline and body of a request.
pub type Fingerprint = [u8; 16];

/// Limit of the fingerprints that are kept.
const MAX_FINGERPRINTS: usize = 4_096;
/// Limit of the victims that are kept for one fingerprint.
const MAX_VICTIMS: usize = 16;
/// Longest lifetime that a rumour may give a record.
const MAX_LIFETIME: Duration = Duration::from_secs(24 * 3_600);

/// Strikes against a request because one target died while it ran the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetStrike {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Target that died, and the stage that it ran.
    pub victim: StrikeVictim,
    /// Number of times that the target died under the request at that stage.
    pub strikes: u8,
    /// When the record expires.
    pub expires: Instant,
}

/// Who observed a strike.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StrikeOrigin {
    /// This daemon.
    Own,
    /// A peer, which reported it.
    Peer,
}

/// Strikes against requests that were running at targets that died, by fingerprint and victim.
/// Daemons that saw the same death name the same victim, so that it counts once.
#[derive(Debug, Default)]
pub(crate) struct StrikeRegistry {
    records: BTreeMap<Fingerprint, StrikeRecord>,
}

#[derive(Debug, Default)]
struct StrikeRecord {
    victims: BTreeMap<StrikeVictim, VictimCount>,
    cleared: Option<StrikeClearance>,
}

#[derive(Debug, Clone)]
struct VictimCount {
    strikes: u8,
    /// Time of the latest of the strikes.
    at: HybridTime,
    expires: Instant,
    origin: StrikeOrigin,
}

#[derive(Debug, Clone)]
struct StrikeClearance {
    /// Strikes up to this time are cleared.
    at: HybridTime,
    expires: Instant,
}

impl StrikeRegistry {
    /// Returns the sum of the strikes of all victims of the fingerprint.
    pub(crate) fn total_strikes(&self, fingerprint: &Fingerprint, now: Instant) -> u8 {
        let Some(record) = self.records.get(fingerprint) else {
            return 0;
        };
        let counts = record.victims.values();
        let unexpired = counts.filter(|count| count.expires > now);
        unexpired.fold(0, |sum, count| sum.saturating_add(count.strikes))
    }

    /// Returns the strikes that peers reported.
    pub(crate) fn peer_strikes(&self, now: Instant) -> Vec<TargetStrike> {
        let rows = self.records.iter().flat_map(|(fingerprint, record)| {
            let counts = record.victims.iter();
            let from_peers = counts.filter(move |(_, count)| {
                count.origin == StrikeOrigin::Peer && count.expires > now
            });
            from_peers.map(|(victim, count)| TargetStrike {
                fingerprint: *fingerprint,
                victim: *victim,
                strikes: count.strikes,
                expires: count.expires,
            })
        });
        rows.collect()
    }

    /// Applies a rumour about strikes; returns when it expires if it changed something, else `None`.
    pub(crate) fn apply_rumour(
        &mut self,
        rumour: &PeerRumour,
        origin: StrikeOrigin,
        now: Instant,
    ) -> Option<Instant> {
        match rumour {
            PeerRumour::Strike {
                fingerprint,
                victim,
                strikes,
                at,
                remaining_ms,
            } => {
                let count = VictimCount {
                    strikes: *strikes,
                    at: *at,
                    expires: now + bounded_lifetime(*remaining_ms),
                    origin,
                };
                self.store_count(fingerprint, *victim, count)
            }
            PeerRumour::StrikesCleared {
                fingerprint,
                at,
                remaining_ms,
            } => {
                let expires = now + bounded_lifetime(*remaining_ms);
                self.store_clearance(fingerprint, StrikeClearance { at: *at, expires })
            }
            _ => None,
        }
    }

    /// Returns the number of fingerprints.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the latest strike against the fingerprint at `index`, as a rumour with its expiry.
    pub(crate) fn latest_strike_rumour(&self, index: usize) -> Option<(PeerRumour, Instant)> {
        let (fingerprint, record) = self.records.iter().nth(index)?;
        let (victim, count) = record.victims.iter().max_by_key(|(_, count)| count.at)?;
        let rumour = PeerRumour::Strike {
            fingerprint: *fingerprint,
            victim: *victim,
            strikes: count.strikes,
            at: count.at,
            remaining_ms: 0,
        };
        Some((rumour, count.expires))
    }

    /// Drops expired strikes and clearances.
    pub(crate) fn prune(&mut self, now: Instant) {
        self.records.retain(|_, record| {
            record.victims.retain(|_, count| count.expires > now);
            record.cleared = record
                .cleared
                .take()
                .filter(|clearance| clearance.expires > now);
            !record.victims.is_empty() || record.cleared.is_some()
        });
    }

    fn store_count(
        &mut self,
        fingerprint: &Fingerprint,
        victim: StrikeVictim,
        count: VictimCount,
    ) -> Option<Instant> {
        self.evict_if_full(fingerprint);
        let record = self.records.entry(*fingerprint).or_default();
        if record
            .cleared
            .as_ref()
            .is_some_and(|clearance| clearance.at >= count.at)
        {
            return None;
        }
        let known = record.victims.get(&victim);
        if known.is_some_and(|known| known.strikes >= count.strikes) {
            return None;
        }
        if known.is_none() && record.victims.len() >= MAX_VICTIMS {
            return None;
        }
        let expires = count.expires;
        record.victims.insert(victim, count);
        Some(expires)
    }

    fn store_clearance(
        &mut self,
        fingerprint: &Fingerprint,
        clearance: StrikeClearance,
    ) -> Option<Instant> {
        self.evict_if_full(fingerprint);
        let record = self.records.entry(*fingerprint).or_default();
        if record
            .cleared
            .as_ref()
            .is_some_and(|known| known.at >= clearance.at)
        {
            return None;
        }
        record.victims.retain(|_, count| count.at > clearance.at);
        let expires = clearance.expires;
        record.cleared = Some(clearance);
        Some(expires)
    }

    /// Drops the record that expires first if a new fingerprint would exceed the limit.
    fn evict_if_full(&mut self, fingerprint: &Fingerprint) {
        if self.records.contains_key(fingerprint) || self.records.len() < MAX_FINGERPRINTS {
            return;
        }
        let evicted = self
            .records
            .iter()
            .min_by_key(|(_, record)| record.last_expiry())
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(evicted) = evicted {
            self.records.remove(&evicted);
        }
    }
}

impl StrikeRecord {
    fn last_expiry(&self) -> Option<Instant> {
        let counts = self.victims.values().map(|count| count.expires);
        counts
            .chain(self.cleared.as_ref().map(|clearance| clearance.expires))
            .max()
    }
}

/// Returns the lifetime that a rumour states, at most `MAX_LIFETIME`.
fn bounded_lifetime(milliseconds: u32) -> Duration {
    Duration::from_millis(u64::from(milliseconds)).min(MAX_LIFETIME)
}
