use {
    crate::{LimitWord, TargetWord},
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Time after the latest answer of a target after which its limit is forgotten.
const LIMIT_LIFETIME: Duration = Duration::from_secs(600);
/// Share by which a limit must change for other entries to be told.
const NEWS_CHANGE: f64 = 0.1;

/// What a target's process said last of its limit, as entries tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// Id of the target.
    pub target: String,
    /// Start time of the process in milliseconds since the Unix epoch; 0 if unknown.
    pub started_ms: u64,
    /// Mean interval between calls of all entries; `None` if the process names no limit any more.
    pub interval: Option<Duration>,
    /// True if the process falls over when it has to turn away too many calls.
    pub is_brittle: bool,
    /// Time since the answer.
    pub age: Duration,
}

#[derive(Debug)]
struct LimitRow {
    started_ms: u64,
    interval: Option<Duration>,
    is_brittle: bool,
    /// Time of the latest answer of the process.
    said_at: Instant,
    /// Time of the latest answer that is news for other entries.
    changed_at: Instant,
}

/// The limits that targets named in their answers, by target and process: the last word counts,
/// whichever entry it was said to.
///
/// ```
/// use {
///     limit::{LimitWord, TargetLimits},
///     std::time::{Duration, Instant},
/// };
///
/// let now = Instant::now();
/// let second = Duration::from_secs(1);
/// let mut limits = TargetLimits::default();
/// assert!(limits.record("t1", 7, LimitWord::Every(second), now, now));
/// assert_eq!(limits.interval("t1", 7), Some(second));
/// // Another process under the same id has said nothing yet.
/// assert_eq!(limits.interval("t1", 8), None);
/// ```
#[derive(Debug, Default)]
pub struct TargetLimits {
    rows: BTreeMap<String, LimitRow>,
}

impl TargetLimits {
    /// Records what a target's process said in the answer to a call that was sent at `called_at`.
    /// Returns true if other entries should be told.
    ///
    /// An answer without a limit ends the limit only if its call was sent after the limit was
    /// named, since answers on different connections overtake each other; the same holds for being
    /// brittle.
    pub fn record(
        &mut self,
        target: &str,
        started_ms: u64,
        word: impl Into<TargetWord>,
        called_at: Instant,
        now: Instant,
    ) -> bool {
        let known = self.rows.get(target);
        let known = known.filter(|row| row.started_ms == started_ms);
        let TargetWord { limit, is_brittle } = word.into();
        let known_interval = known.and_then(|row| row.interval);
        let was_brittle = known.is_some_and(|row| row.is_brittle);
        let interval = match limit {
            LimitWord::Unreadable => known_interval,
            LimitWord::Every(interval) => Some(interval),
            LimitWord::Unlimited => None,
        };
        let ends_something =
            (known_interval.is_some() && interval.is_none()) || (was_brittle && !is_brittle);
        let is_overtaken = known.is_some_and(|row| called_at < row.said_at);
        let says_nothing = interval.is_none() && !is_brittle && !ends_something;
        let is_unreadable = limit == LimitWord::Unreadable && is_brittle == was_brittle;
        if says_nothing || is_unreadable || (ends_something && is_overtaken) {
            return false;
        }
        let is_news =
            is_brittle != was_brittle || known.is_none_or(|row| is_change(row.interval, interval));
        let changed_at = known.map_or(now, |row| row.changed_at);
        let row = LimitRow {
            started_ms,
            interval,
            is_brittle,
            said_at: now,
            changed_at: if is_news { now } else { changed_at },
        };
        self.rows.insert(target.to_string(), row);
        is_news
    }

    /// Merges what another entry was told. Returns true if it is later than what this entry knows
    /// and differs from it.
    pub fn merge(&mut self, notice: &LimitNotice, now: Instant) -> bool {
        let said_at = now.checked_sub(notice.age).unwrap_or(now);
        let known = self.rows.get(&notice.target);
        let known = known.filter(|row| row.started_ms == notice.started_ms);
        if known.is_some_and(|row| row.said_at >= said_at) {
            return false;
        }
        let before = known.and_then(|row| row.interval);
        let was_brittle = known.is_some_and(|row| row.is_brittle);
        let changed_at = known.map_or(said_at, |row| row.changed_at);
        let row = LimitRow {
            started_ms: notice.started_ms,
            interval: notice.interval,
            is_brittle: notice.is_brittle,
            said_at,
            changed_at,
        };
        self.rows.insert(notice.target.clone(), row);
        was_brittle != notice.is_brittle || is_change(before, notice.interval)
    }

    /// Returns true if the target's process said last that it is brittle.
    pub fn is_brittle(&self, target: &str, started_ms: u64) -> bool {
        let row = self.rows.get(target);
        row.is_some_and(|row| row.started_ms == started_ms && row.is_brittle)
    }

    /// Returns the mean interval between calls to the target's process; `None` if it names no limit.
    pub fn interval(&self, target: &str, started_ms: u64) -> Option<Duration> {
        let row = self.rows.get(target);
        row.filter(|row| row.started_ms == started_ms)?.interval
    }

    /// Returns what the target's process said last, for another entry.
    pub fn notice(&self, target: &str, started_ms: u64, now: Instant) -> Option<LimitNotice> {
        let row = self.rows.get(target);
        let row = row.filter(|row| row.started_ms == started_ms)?;
        Some(notice_of(target, row, now))
    }

    /// Returns the changes of at most this age that this entry was told of by targets.
    pub fn news(&self, max_age: Duration, now: Instant) -> Vec<LimitNotice> {
        let is_new = |row: &&LimitRow| now.saturating_duration_since(row.changed_at) <= max_age;
        let rows = self.rows.iter().filter(|(_, row)| is_new(row));
        rows.map(|(target, row)| notice_of(target, row, now))
            .collect()
    }

    /// Forgets the limits of targets that have not answered for long.
    pub fn remove_expired(&mut self, now: Instant) {
        self.rows
            .retain(|_, row| now.saturating_duration_since(row.said_at) < LIMIT_LIFETIME);
    }
}

fn notice_of(target: &str, row: &LimitRow, now: Instant) -> LimitNotice {
    LimitNotice {
        target: target.to_string(),
        started_ms: row.started_ms,
        interval: row.interval,
        is_brittle: row.is_brittle,
        age: now.saturating_duration_since(row.said_at),
    }
}

fn is_change(before: Option<Duration>, after: Option<Duration>) -> bool {
    match (before, after) {
        (Some(before), Some(after)) => before.abs_diff(after) > before.mul_f64(NEWS_CHANGE),
        (None, None) => false,
        _ => true,
    }
}
