use {
    crate::source_mark::SourceMark,
    base::{HostState, ListedTarget, TargetId},
    stamp::HybridTime,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    wire::{MarkSource, PeerRumour},
};

/// Limit of the statements about targets that are kept.
const MAX_MARKS: usize = 8_192;
/// Time for which a cleared mark is kept, so that a member that was cut off can't bring the old mark
/// back.
const CLEARED_RETENTION: Duration = Duration::from_secs(24 * 3_600);
/// All sources, for an operator's statement that clears the marks of each.
const ALL_SOURCES: [MarkSource; 4] = [
    MarkSource::HostList,
    MarkSource::Sheet,
    MarkSource::Operator,
    MarkSource::Target,
];

/// Registry of the targets that are leaving. It keeps the latest statement of each source about a
/// target, by hybrid time. A target is leaving while any source's latest statement marks it.
#[derive(Debug, Default)]
pub(crate) struct TargetMarks {
    marks: BTreeMap<(TargetId, MarkSource), SourceMark>,
    list_histories: BTreeMap<TargetId, ListHistory>,
    has_seen_list: bool,
    sheet_leaving_targets: BTreeSet<TargetId>,
}

/// What the host lists read by this daemon showed of a target.
#[derive(Debug, Clone, Default)]
struct ListHistory {
    is_leaving: bool,
    /// True if a list showed the target as leaving after the list's mark was last cleared.
    was_shown_leaving: bool,
    /// Time since which every list has shown the target as live; `None` if the latest one doesn't.
    live_since: Option<Instant>,
}

impl TargetMarks {
    /// True while any source marks the target.
    pub(crate) fn is_leaving(&self, target: &str) -> bool {
        ALL_SOURCES
            .iter()
            .any(|&source| self.is_marked(target, source))
    }

    /// Returns the targets that are leaving.
    pub(crate) fn leaving_targets(&self) -> BTreeSet<TargetId> {
        let marks = self.marks.iter().filter(|(_, mark)| !mark.is_cleared);
        marks.map(|((target, _), _)| target.clone()).collect()
    }

    /// Marks a target as leaving for a source; returns no rumour if the source marks it already.
    pub(crate) fn mark_leaving(
        &mut self,
        target: &str,
        source: MarkSource,
        since: HybridTime,
        now: Instant,
    ) -> Vec<PeerRumour> {
        if self.is_marked(target, source) {
            return Vec::new();
        }
        let since = self.after_known_mark(target, source, since);
        self.store_mark(target, source, since, false, now)
    }

    /// Clears the marks of all sources, for an operator.
    pub(crate) fn clear_all_sources(
        &mut self,
        target: &str,
        since: HybridTime,
        now: Instant,
    ) -> Vec<PeerRumour> {
        let mut rumours = Vec::new();
        for source in ALL_SOURCES {
            let since = self.after_known_mark(target, source, since);
            rumours.extend(self.store_mark(target, source, since, true, now));
        }
        rumours
    }

    /// Clears the target's own mark after the target stated that it is live. A mark that has been
    /// known for less than `hold` stays, since the statement may be older than the mark.
    pub(crate) fn on_target_live(
        &mut self,
        target: &str,
        hold: Duration,
        now: Instant,
    ) -> Vec<PeerRumour> {
        let key = (target.to_string(), MarkSource::Target);
        match self.marks.get(&key) {
            Some(mark) if now.saturating_duration_since(mark.seen_at) >= hold => {
                self.clear_source(target, MarkSource::Target, now)
            }
            _ => Vec::new(),
        }
    }

    /// Applies a peer's statement. Returns true if it changed whether the source marks the target,
    /// so that the statement is to be passed on.
    pub(crate) fn apply_rumour(&mut self, rumour: &PeerRumour, now: Instant) -> bool {
        let PeerRumour::TargetLeaving {
            target,
            source,
            since,
            clear,
        } = rumour
        else {
            return false;
        };
        let known = self.marks.get(&(target.clone(), *source));
        if known.is_some_and(|mark| mark.since >= *since) {
            return false;
        }
        let is_changed = known.is_none_or(|mark| mark.is_cleared != *clear);
        self.store_mark(target, *source, *since, *clear, now);
        is_changed
    }

    /// Applies the target rows of the host list.
    ///
    /// A mark takes effect when the list begins to show it. A mark in the first list may be stale:
    /// it takes effect here, is not passed on, and any peer's statement replaces it. A live row
    /// clears no mark by itself; see `clear_withdrawn_list_marks`.
    pub(crate) fn on_host_list(
        &mut self,
        rows: &[ListedTarget],
        since: HybridTime,
        list_lag: Duration,
        now: Instant,
    ) -> Vec<PeerRumour> {
        let mut rumours = Vec::new();
        let is_first_list = !std::mem::replace(&mut self.has_seen_list, true);
        for row in rows {
            match row.state {
                HostState::Leaving => {
                    rumours.extend(self.on_listed_leaving(row, since, list_lag, now, is_first_list))
                }
                HostState::Live => self.on_listed_live(row, now),
            }
        }
        let listed_targets: BTreeSet<_> = rows.iter().map(|row| row.target.as_str()).collect();
        for (target, history) in &mut self.list_histories {
            if !listed_targets.contains(target.as_str()) {
                history.is_leaving = false;
                history.live_since = None;
            }
        }
        rumours
    }

    /// Clears the marks of the host list and of the target itself, for targets that the list has
    /// shown as leaving and then as live for at least `hold`.
    pub(crate) fn clear_withdrawn_list_marks(
        &mut self,
        hold: Duration,
        now: Instant,
    ) -> Vec<PeerRumour> {
        let mut unmarked_targets = Vec::new();
        for (target, history) in &mut self.list_histories {
            let since = history.live_since.filter(|_| history.was_shown_leaving);
            if since.is_some_and(|since| now.saturating_duration_since(since) >= hold) {
                history.was_shown_leaving = false;
                unmarked_targets.push(target.clone());
            }
        }
        let mut rumours = Vec::new();
        for target in unmarked_targets {
            rumours.extend(self.clear_source(&target, MarkSource::HostList, now));
            rumours.extend(self.clear_source(&target, MarkSource::Target, now));
        }
        rumours
    }

    /// Applies the leaving targets of the sheet in force. Sheets never go back to an earlier
    /// version, so a mark that only the previous sheet has is cleared at once.
    pub(crate) fn on_sheet(
        &mut self,
        leaving: BTreeSet<TargetId>,
        since: HybridTime,
        now: Instant,
    ) -> Vec<PeerRumour> {
        let previous = std::mem::replace(&mut self.sheet_leaving_targets, leaving.clone());
        let mut rumours = Vec::new();
        for target in leaving.difference(&previous) {
            rumours.extend(self.mark_leaving(target, MarkSource::Sheet, since, now));
        }
        for target in previous.difference(&leaving) {
            rumours.extend(self.clear_source(target, MarkSource::Sheet, now));
        }
        rumours
    }

    /// Returns the number of statements.
    pub(crate) fn len(&self) -> usize {
        self.marks.len()
    }

    /// Returns the statement at `index` as a rumour.
    pub(crate) fn rumour_at(&self, index: usize) -> Option<PeerRumour> {
        let ((target, source), mark) = self.marks.iter().nth(index)?;
        Some(mark.rumour(target, *source))
    }

    /// Drops cleared marks after their retention time. If more than `MAX_MARKS` statements remain,
    /// drops cleared ones before others, and each kind oldest first.
    pub(crate) fn prune(&mut self, now: Instant) {
        self.marks.retain(|_, mark| {
            !mark.is_cleared || now.saturating_duration_since(mark.seen_at) < CLEARED_RETENTION
        });
        while self.marks.len() > MAX_MARKS {
            let oldest = self
                .marks
                .iter()
                .min_by_key(|(_, mark)| (!mark.is_cleared, mark.seen_at))
                .map(|(key, _)| key.clone());
            if let Some(key) = oldest {
                self.marks.remove(&key);
            }
        }
    }

    fn on_listed_leaving(
        &mut self,
        row: &ListedTarget,
        since: HybridTime,
        list_lag: Duration,
        now: Instant,
        is_first_list: bool,
    ) -> Vec<PeerRumour> {
        let history = self.list_histories.entry(row.target.clone()).or_default();
        let is_new_mark = !std::mem::replace(&mut history.is_leaving, true);
        history.was_shown_leaving = true;
        history.live_since = None;
        if !is_new_mark || self.was_cleared_within(&row.target, list_lag, now) {
            return Vec::new();
        }
        if is_first_list {
            let lowest_time = HybridTime::default().successor();
            let key = (row.target.clone(), MarkSource::HostList);
            if !self.marks.contains_key(&key) {
                self.store_mark(&row.target, MarkSource::HostList, lowest_time, false, now);
            }
            return Vec::new();
        }
        self.mark_leaving(&row.target, MarkSource::HostList, since, now)
    }

    fn on_listed_live(&mut self, row: &ListedTarget, now: Instant) {
        let history = self.list_histories.entry(row.target.clone()).or_default();
        history.is_leaving = false;
        history.live_since.get_or_insert(now);
    }

    /// True if the list's mark was cleared within the time that the list may lag, so that the list
    /// may still begin to show the old mark.
    fn was_cleared_within(&self, target: &str, list_lag: Duration, now: Instant) -> bool {
        let mark = self.marks.get(&(target.to_string(), MarkSource::HostList));
        mark.is_some_and(|mark| {
            mark.is_cleared && now.saturating_duration_since(mark.seen_at) < list_lag
        })
    }

    fn clear_source(&mut self, target: &str, source: MarkSource, now: Instant) -> Vec<PeerRumour> {
        let key = (target.to_string(), source);
        match self.marks.get(&key) {
            Some(mark) if !mark.is_cleared => {
                let since = mark.since.successor();
                self.store_mark(target, source, since, true, now)
            }
            _ => Vec::new(),
        }
    }

    fn is_marked(&self, target: &str, source: MarkSource) -> bool {
        let mark = self.marks.get(&(target.to_string(), source));
        mark.is_some_and(|mark| !mark.is_cleared)
    }

    /// Returns `since`, or the time right after the known statement of the source if that is later.
    fn after_known_mark(&self, target: &str, source: MarkSource, since: HybridTime) -> HybridTime {
        let known = self.marks.get(&(target.to_string(), source));
        known.map_or(since, |mark| since.max(mark.since.successor()))
    }

    /// Stores a statement in place of the source's earlier one, and returns it as a rumour.
    fn store_mark(
        &mut self,
        target: &str,
        source: MarkSource,
        since: HybridTime,
        is_cleared: bool,
        now: Instant,
    ) -> Vec<PeerRumour> {
        let mark = SourceMark {
            since,
            is_cleared,
            seen_at: now,
        };
        let rumour = mark.rumour(target, source);
        self.marks.insert((target.to_string(), source), mark);
        vec![rumour]
    }
}
