use {
    base::HostId,
    stamp::HybridTime,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    wire::PeerRumour,
};

/// Fingerprint of customer, pipeline and body of a request.
pub type Fingerprint = [u8; 16];

/// Most fingerprints that are kept.
const MAX_FINGERPRINTS: usize = 4_096;
/// Most witnesses that are kept for one fingerprint.
const MAX_WITNESSES: usize = 16;
/// Longest time that a peer may make a record last.
const MAX_REMAINING: Duration = Duration::from_secs(24 * 3_600);

/// Requests that were running at targets that died, as counted by each witness.
#[derive(Debug, Default)]
pub(crate) struct StrikeBook {
    records: BTreeMap<Fingerprint, StrikeRecord>,
}

#[derive(Debug, Default)]
struct StrikeRecord {
    witnesses: BTreeMap<HostId, WitnessCount>,
    cleared: Option<ClearedMark>,
}

#[derive(Debug, Clone)]
struct WitnessCount {
    strikes: u8,
    at: HybridTime,
    expires: Instant,
}

#[derive(Debug, Clone)]
struct ClearedMark {
    at: HybridTime,
    expires: Instant,
}

impl StrikeBook {
    /// Sum of the strikes that all witnesses hold against the fingerprint.
    pub(crate) fn strikes(&self, fingerprint: &Fingerprint, now: Instant) -> u8 {
        let Some(record) = self.records.get(fingerprint) else {
            return 0;
        };
        let counts = record.witnesses.values();
        let alive = counts.filter(|count| count.expires > now);
        alive.fold(0, |sum, count| sum.saturating_add(count.strikes))
    }

    /// Strikes by fingerprint and witness.
    pub(crate) fn witnessed_strikes(&self, now: Instant) -> Vec<(Fingerprint, HostId, u8)> {
        let rows = self.records.iter().flat_map(|(fingerprint, record)| {
            let counts = record.witnesses.iter();
            let alive = counts.filter(move |(_, count)| count.expires > now);
            alive.map(|(witness, count)| (*fingerprint, witness.clone(), count.strikes))
        });
        rows.collect()
    }

    /// Number of strikes that one witness holds.
    pub(crate) fn witnessed(&self, fingerprint: &Fingerprint, witness: &str, now: Instant) -> u8 {
        self.records
            .get(fingerprint)
            .and_then(|record| record.witnesses.get(witness))
            .filter(|count| count.expires > now)
            .map_or(0, |count| count.strikes)
    }

    /// Takes in a rumour; the answer is when it expires, if it was news.
    pub(crate) fn absorb(&mut self, rumour: &PeerRumour, now: Instant) -> Option<Instant> {
        match rumour {
            PeerRumour::Strike {
                fingerprint,
                witness,
                strikes,
                at,
                remaining_ms,
            } => {
                let count = WitnessCount {
                    strikes: *strikes,
                    at: *at,
                    expires: now + remaining(*remaining_ms),
                };
                self.count(fingerprint, witness, count)
            }
            PeerRumour::StrikesCleared {
                fingerprint,
                at,
                remaining_ms,
            } => {
                let expires = now + remaining(*remaining_ms);
                self.clear(fingerprint, ClearedMark { at: *at, expires })
            }
            _ => None,
        }
    }

    /// Number of fingerprints.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// One witness's strikes against one of the fingerprints, as a rumour with its expiry.
    pub(crate) fn rumour(&self, index: usize) -> Option<(PeerRumour, Instant)> {
        let (fingerprint, record) = self.records.iter().nth(index)?;
        let (witness, count) = record.witnesses.iter().max_by_key(|(_, count)| count.at)?;
        let rumour = PeerRumour::Strike {
            fingerprint: *fingerprint,
            witness: witness.clone(),
            strikes: count.strikes,
            at: count.at,
            remaining_ms: 0,
        };
        Some((rumour, count.expires))
    }

    /// Drops what has expired.
    pub(crate) fn prune(&mut self, now: Instant) {
        self.records.retain(|_, record| {
            record.witnesses.retain(|_, count| count.expires > now);
            record.cleared = record.cleared.take().filter(|mark| mark.expires > now);
            !record.witnesses.is_empty() || record.cleared.is_some()
        });
    }

    fn count(
        &mut self,
        fingerprint: &Fingerprint,
        witness: &str,
        count: WitnessCount,
    ) -> Option<Instant> {
        self.make_room(fingerprint);
        let record = self.records.entry(*fingerprint).or_default();
        if record
            .cleared
            .as_ref()
            .is_some_and(|mark| mark.at >= count.at)
        {
            return None;
        }
        let known = record.witnesses.get(witness);
        if known.is_some_and(|known| known.at >= count.at) {
            return None;
        }
        if known.is_none() && record.witnesses.len() >= MAX_WITNESSES {
            return None;
        }
        let expires = count.expires;
        record.witnesses.insert(witness.to_string(), count);
        Some(expires)
    }

    fn clear(&mut self, fingerprint: &Fingerprint, mark: ClearedMark) -> Option<Instant> {
        self.make_room(fingerprint);
        let record = self.records.entry(*fingerprint).or_default();
        if record
            .cleared
            .as_ref()
            .is_some_and(|known| known.at >= mark.at)
        {
            return None;
        }
        record.witnesses.retain(|_, count| count.at > mark.at);
        let expires = mark.expires;
        record.cleared = Some(mark);
        Some(expires)
    }

    /// Makes room for a new fingerprint by dropping the record that expires first.
    fn make_room(&mut self, fingerprint: &Fingerprint) {
        if self.records.contains_key(fingerprint) || self.records.len() < MAX_FINGERPRINTS {
            return;
        }
        let first = self
            .records
            .iter()
            .min_by_key(|(_, record)| record.last_expiry())
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(first) = first {
            self.records.remove(&first);
        }
    }
}

impl StrikeRecord {
    fn last_expiry(&self) -> Option<Instant> {
        let counts = self.witnesses.values().map(|count| count.expires);
        counts
            .chain(self.cleared.as_ref().map(|mark| mark.expires))
            .max()
    }
}

fn remaining(milliseconds: u32) -> Duration {
    Duration::from_millis(u64::from(milliseconds)).min(MAX_REMAINING)
}
