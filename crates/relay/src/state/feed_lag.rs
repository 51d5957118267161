use std::time::{Duration, Instant};

/// Time for which the feed may lag behind what another peer knows of the store.
const MAX_LAG: Duration = Duration::from_millis(900);

/// For how long this entry has known that a peer is ahead of it.
///
/// A change reaches the entries that watch the store first and the others by the feed a moment
/// later. In between the others must not all ask the store for it.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// let mut lag = relay::FeedLag::default();
/// let now = Instant::now();
/// assert!(!lag.is_overdue(now));
/// assert!(lag.is_overdue(now + Duration::from_secs(1)));
/// ```
#[derive(Debug, Default)]
pub struct FeedLag {
    behind_since: Option<Instant>,
}

impl FeedLag {
    /// Records that a peer is ahead. Returns true once the feed had the time to catch up, and then
    /// begins anew.
    pub fn is_overdue(&mut self, now: Instant) -> bool {
        let since = *self.behind_since.get_or_insert(now);
        let is_overdue = now.saturating_duration_since(since) >= MAX_LAG;
        if is_overdue {
            self.behind_since = None;
        }
        is_overdue
    }

    /// Records that no peer is known to be ahead.
    pub fn clear(&mut self) {
        self.behind_since = None;
    }
}
