use {
    crate::rumour_key::RumourKey,
    std::{
        cmp::Reverse,
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    wire::PeerRumour,
};

/// Limit of the rumours that wait for transmission.
const MAX_RUMOURS: usize = 1_024;

/// Rumours to pass on, each a limited number of times.
#[derive(Debug, Default)]
pub(crate) struct RumourBuffer {
    entries: BTreeMap<RumourKey, RumourEntry>,
}

#[derive(Debug)]
struct RumourEntry {
    rumour: PeerRumour,
    sends_left: u32,
    expires: Option<Instant>,
}

impl RumourBuffer {
    /// Adds a rumour that is to be sent `sends` times, and replaces the one about the same subject.
    /// The remaining time that the rumour states is computed from `expires` when it is sent.
    pub(crate) fn push(&mut self, rumour: PeerRumour, sends: u32, expires: Option<Instant>) {
        let key = RumourKey::of(&rumour);
        if !self.entries.contains_key(&key) && self.entries.len() >= MAX_RUMOURS {
            self.evict();
        }
        let entry = RumourEntry {
            rumour,
            sends_left: sends,
            expires,
        };
        self.entries.insert(key, entry);
    }

    /// True if no rumour waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns rumours for one datagram, at most `room_bytes` long: urgent ones first, then those
    /// with the most transmissions left.
    pub(crate) fn take_for_datagram(&mut self, room_bytes: usize, now: Instant) -> Vec<PeerRumour> {
        self.entries
            .retain(|_, entry| entry.expires.is_none_or(|expires| expires > now));
        let mut order: Vec<_> = self
            .entries
            .iter()
            .map(|(key, entry)| (key.is_urgent(), entry.sends_left, key.clone()))
            .collect();
        order.sort_by_key(|(urgent, sends_left, _)| Reverse((*urgent, *sends_left)));
        let mut taken = Vec::new();
        let mut used_bytes = 0;
        for (_, _, key) in order {
            let Some(entry) = self.entries.get_mut(&key) else {
                continue;
            };
            let rumour = with_remaining_time(&entry.rumour, entry.expires, now);
            let bytes = rumour.encoded_bytes();
            if used_bytes + bytes > room_bytes {
                continue;
            }
            used_bytes += bytes;
            taken.push(rumour);
            entry.sends_left = entry.sends_left.saturating_sub(1);
            if entry.sends_left == 0 {
                self.entries.remove(&key);
            }
        }
        taken
    }

    /// Drops the rumour that is not urgent, or else an urgent one, with the fewest transmissions
    /// left.
    fn evict(&mut self) {
        let evicted = self
            .entries
            .iter()
            .min_by_key(|(key, entry)| (key.is_urgent(), entry.sends_left))
            .map(|(key, _)| key.clone());
        if let Some(key) = evicted {
            self.entries.remove(&key);
        }
    }
}

/// Returns the rumour with its remaining time updated, if it states one.
pub(crate) fn with_remaining_time(
    rumour: &PeerRumour,
    expires: Option<Instant>,
    now: Instant,
) -> PeerRumour {
    let mut rumour = rumour.clone();
    let remaining = expires.map_or(Duration::ZERO, |expires| {
        expires.saturating_duration_since(now)
    });
    let milliseconds_left = u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX);
    match &mut rumour {
        PeerRumour::Strike { remaining_ms, .. } => *remaining_ms = milliseconds_left,
        PeerRumour::StrikesCleared { remaining_ms, .. } => *remaining_ms = milliseconds_left,
        _ => {}
    }
    rumour
}
