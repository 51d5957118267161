use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Number of targets that were not reached after which an entry doubts its own links.
const DOUBT_TARGETS: usize = 2;
/// Number of targets, checked ones included, none of which is reached, that show that the links are
/// lost. With fewer, the targets may all have failed.
const MIN_UNREACHED: usize = 3;
/// Time for which a target that was not reached counts.
const UNREACHED_MEMORY: Duration = Duration::from_secs(3);
/// Time between two checks of links that are in doubt.
const DOUBT_INTERVAL: Duration = Duration::from_millis(300);
/// Time between two checks of links that are lost.
const LOST_INTERVAL: Duration = Duration::from_millis(400);

/// A change in whether an entry reaches targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkChange {
    /// The links to all targets are lost.
    Lost,
    /// Targets are reached again, after this time.
    Regained {
        /// Time since the loss was noticed.
        after: Duration,
    },
}

/// Whether an entry reaches targets at all. Tells a fault of its own links from faults of targets.
///
/// Two targets that were not reached or are silent are a reason to check others, of as many services as there are.
/// If none of them is reached on a new connection either, the fault is the entry's own. Answers on
/// connections that are already open prove nothing, since these may live on.
///
/// ```
/// use {
///     route::{LinkChange, TargetLink},
///     std::time::Instant,
/// };
///
/// let now = Instant::now();
/// let mut link = TargetLink::default();
/// link.record_unreached("a", now);
/// assert!(!link.is_check_due(now));
/// link.record_unreached("b", now);
/// assert!(link.is_check_due(now));
/// assert_eq!(link.record_check(0, 4, now), Some(LinkChange::Lost));
/// assert!(link.is_lost());
/// ```
#[derive(Debug, Default)]
pub struct TargetLink {
    /// Targets that were not reached since one was, with the time of the last failure.
    unreached: BTreeMap<String, Instant>,
    reached_at: Option<Instant>,
    /// Time of the last answer on any connection.
    answered_at: Option<Instant>,
    lost_since: Option<Instant>,
    next_check_at: Option<Instant>,
}

impl TargetLink {
    /// Returns true if no target can be reached.
    pub fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    /// Records that a target has answered on a new connection.
    pub fn record_reached(&mut self, now: Instant) {
        self.reached_at = Some(now);
        self.unreached.clear();
    }

    /// Records that a target has answered on a connection that was open before.
    pub fn record_answer(&mut self, now: Instant) {
        self.answered_at = Some(now);
    }

    /// Records that a call which was sent at the given time has no answer yet. It counts unless any
    /// target has answered since; most targets take long under load, but not all at once.
    pub fn record_silence(&mut self, target: &str, called_at: Instant, now: Instant) {
        let answered_at = self.answered_at.max(self.reached_at);
        if answered_at.is_none_or(|answered_at| answered_at < called_at) {
            self.record_unreached(target, now);
        }
    }

    /// Records that a connection to a target could not be opened, or was lost.
    pub fn record_unreached(&mut self, target: &str, now: Instant) {
        self.unreached
            .retain(|_, at| now.saturating_duration_since(*at) < UNREACHED_MEMORY);
        self.unreached.insert(target.to_string(), now);
    }

    /// Returns true if a target was reached at this time or later.
    pub fn has_reached_since(&self, time: Instant) -> bool {
        self.reached_at.is_some_and(|reached_at| reached_at >= time)
    }

    /// Returns the targets that were not reached lately.
    pub fn unreached(&self) -> impl Iterator<Item = &str> {
        self.unreached.keys().map(String::as_str)
    }

    /// Returns true if the links are lost or in doubt, and have not been checked for a while.
    pub fn is_check_due(&self, now: Instant) -> bool {
        let is_in_doubt = self.is_lost() || self.unreached.len() >= DOUBT_TARGETS;
        is_in_doubt && self.next_check_at.is_none_or(|next_at| next_at <= now)
    }

    /// Records a check of `checked` targets, of which `reached` answered on a new connection.
    pub fn record_check(
        &mut self,
        reached: usize,
        checked: usize,
        now: Instant,
    ) -> Option<LinkChange> {
        let interval = match self.lost_since {
            Some(_) => LOST_INTERVAL,
            None => DOUBT_INTERVAL,
        };
        self.next_check_at = Some(now + interval);
        let unreached = self.unreached.len() + checked;
        if reached > 0 {
            self.record_reached(now);
        }
        match self.lost_since {
            None if reached == 0 && checked > 0 && unreached >= MIN_UNREACHED => {
                self.lost_since = Some(now);
                Some(LinkChange::Lost)
            }
            // With one answer of several, the links may still fail most calls.
            Some(lost_since) if reached * 2 > checked => {
                self.lost_since = None;
                let after = now.saturating_duration_since(lost_since);
                Some(LinkChange::Regained { after })
            }
            _ => None,
        }
    }
}
