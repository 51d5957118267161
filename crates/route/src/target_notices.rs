use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Longest pause that a target can ask for.
const MAX_PAUSE: Duration = Duration::from_secs(60);
/// Time for which it is remembered that a process is leaving.
const LEAVING_MEMORY: Duration = Duration::from_secs(600);

/// What a target says of itself in the head of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetNotice {
    /// True if the target is leaving and wants no new work.
    pub leaving: bool,
    /// Time for which the target wants no calls of this entry; `None` if it asks for no pause.
    pub pause: Option<Duration>,
}

/// What a target's notices mean for the calls of this entry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NoticeStanding {
    /// True if the target gets no new work.
    pub leaving: bool,
    /// Time until which the target gets no calls at all.
    pub paused_until: Option<Instant>,
}

#[derive(Debug)]
struct NoticeRow {
    /// Start time of the target's process in milliseconds since the Unix epoch; 0 if unknown.
    started_ms: u64,
    standing: NoticeStanding,
    recorded_at: Instant,
}

/// Notices of targets, by id and process.
///
/// A notice binds this entry as soon as the answer has come in, whatever the list of targets says,
/// and also while the list cannot be read. It ends with the process that gave it.
///
/// ```
/// use {
///     route::{TargetNotice, TargetNotices},
///     std::time::{Duration, Instant},
/// };
///
/// let now = Instant::now();
/// let mut notices = TargetNotices::default();
/// let notice = TargetNotice { leaving: false, pause: Some(Duration::from_secs(2)) };
/// assert!(notices.record("t1", 7, notice, now));
/// assert_eq!(notices.active(now).count(), 1);
/// assert_eq!(notices.active(now + Duration::from_secs(3)).count(), 0);
/// ```
#[derive(Debug, Default)]
pub struct TargetNotices {
    rows: BTreeMap<String, NoticeRow>,
}

impl TargetNotices {
    /// Records a notice of the process of a target that started at the given time. Returns true if
    /// it says something new.
    pub fn record(
        &mut self,
        target: &str,
        started_ms: u64,
        notice: TargetNotice,
        now: Instant,
    ) -> bool {
        self.rows.retain(|_, row| row.is_active(now));
        let known = self.rows.get(target);
        let known = known.filter(|row| row.started_ms == started_ms);
        let before = known.map_or_else(NoticeStanding::default, |row| row.standing);
        let paused_until = notice.pause.map(|pause| now + pause.min(MAX_PAUSE));
        let standing = NoticeStanding {
            leaving: before.leaving || notice.leaving,
            paused_until: before.paused_until.max(paused_until),
        };
        let row = NoticeRow {
            started_ms,
            standing,
            recorded_at: now,
        };
        self.rows.insert(target.to_string(), row);
        standing != before
    }

    /// Forgets the notices of a process that was replaced by one with another start time.
    pub fn retain_process(&mut self, target: &str, started_ms: u64) {
        let row = self.rows.get(target);
        if row.is_some_and(|row| row.started_ms != started_ms) {
            self.rows.remove(target);
        }
    }

    /// Returns the targets that must not be called as usual now, by id.
    pub fn active(&self, now: Instant) -> impl Iterator<Item = (&str, NoticeStanding)> {
        let active = self.rows.iter().filter(move |(_, row)| row.is_active(now));
        active.map(|(target, row)| (target.as_str(), row.standing))
    }
}

impl NoticeRow {
    fn is_active(&self, now: Instant) -> bool {
        let is_paused = self.standing.paused_until.is_some_and(|until| until > now);
        let is_leaving = self.standing.leaving
            && now.saturating_duration_since(self.recorded_at) < LEAVING_MEMORY;
        is_paused || is_leaving
    }
}
