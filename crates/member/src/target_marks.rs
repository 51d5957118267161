use {
    crate::target_word::TargetWord,
    base::{HostState, TargetId, TargetStatus},
    stamp::HybridTime,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    wire::{MarkSource, PeerRumour},
};

/// Most words on targets that are kept.
const MAX_WORDS: usize = 8_192;
/// Time for which a cleared mark is remembered, so that a partition's old marks can't return.
const CLEARED_KEPT: Duration = Duration::from_secs(24 * 3_600);
/// Every source, for a word that concerns all of them.
const ALL_SOURCES: [MarkSource; 4] = [
    MarkSource::HostList,
    MarkSource::Sheet,
    MarkSource::Operator,
    MarkSource::Target,
];

/// Which targets are leaving: for each source the latest word, ordered by hybrid time. A target
/// is leaving while any source's latest word marks it.
#[derive(Debug, Default)]
pub(crate) struct TargetMarks {
    words: BTreeMap<(TargetId, MarkSource), TargetWord>,
    listed: BTreeMap<TargetId, ListTrace>,
    list_seen: bool,
    sheet_marked: BTreeSet<TargetId>,
}

/// What the host list showed of a target here.
#[derive(Debug, Clone, Default)]
struct ListTrace {
    leaving: bool,
    shown_leaving: bool,
    live_since: Option<Instant>,
}

impl TargetMarks {
    /// True while any source marks the target.
    pub(crate) fn is_leaving(&self, target: &str) -> bool {
        ALL_SOURCES
            .iter()
            .any(|&source| self.is_marked(target, source))
    }

    /// Targets that are leaving.
    pub(crate) fn leaving(&self) -> BTreeSet<TargetId> {
        let marks = self.words.iter().filter(|(_, word)| !word.clear);
        marks.map(|((target, _), _)| target.clone()).collect()
    }

    /// Marks a target for a source; no news if the source marks it already.
    pub(crate) fn mark(
        &mut self,
        target: &str,
        source: MarkSource,
        since: HybridTime,
        now: Instant,
    ) -> Vec<PeerRumour> {
        if self.is_marked(target, source) {
            return Vec::new();
        }
        let since = self.later_than_known(target, source, since);
        self.say(target, source, since, false, now)
    }

    /// Takes back the marks of all sources, on an operator's word.
    pub(crate) fn clear(
        &mut self,
        target: &str,
        since: HybridTime,
        now: Instant,
    ) -> Vec<PeerRumour> {
        let mut rumours = Vec::new();
        for source in ALL_SOURCES {
            let since = self.later_than_known(target, source, since);
            rumours.extend(self.say(target, source, since, true, now));
        }
        rumours
    }

    /// Takes back the target's own mark, on the word of the target itself, unless that word may
    /// be older than the mark.
    pub(crate) fn target_live(
        &mut self,
        target: &str,
        hold: Duration,
        now: Instant,
    ) -> Vec<PeerRumour> {
        let key = (target.to_string(), MarkSource::Target);
        match self.words.get(&key) {
            Some(word) if now.saturating_duration_since(word.seen) >= hold => {
                self.clear_source(target, MarkSource::Target, now)
            }
            _ => Vec::new(),
        }
    }

    /// Takes in a peer's word; the answer is true if it changed whether the source marks the
    /// target, so that it is to be passed on.
    pub(crate) fn absorb(&mut self, rumour: &PeerRumour, now: Instant) -> bool {
        let PeerRumour::TargetLeaving {
            target,
            source,
            since,
            clear,
        } = rumour
        else {
            return false;
        };
        let known = self.words.get(&(target.clone(), *source));
        if known.is_some_and(|word| word.since >= *since) {
            return false;
        }
        let changed = known.is_none_or(|word| word.clear != *clear);
        self.say(target, *source, *since, *clear, now);
        changed
    }

    /// Takes in what the host list says of targets.
    ///
    /// A mark counts when the list begins to show it. A mark in the first list may be stale: it
    /// holds here, any peer's word replaces it, and it is not passed on. A live word counts
    /// only after this list itself showed the mark and then showed the target live for the hold.
    pub(crate) fn on_list(
        &mut self,
        rows: &[TargetStatus],
        since: HybridTime,
        lag: Duration,
        now: Instant,
    ) -> Vec<PeerRumour> {
        let mut rumours = Vec::new();
        let first = !std::mem::replace(&mut self.list_seen, true);
        for row in rows {
            match row.state {
                HostState::Leaving => {
                    rumours.extend(self.list_leaving(row, since, lag, now, first))
                }
                HostState::Live => self.list_live(row, now),
            }
        }
        let named: BTreeSet<_> = rows.iter().map(|row| row.target.as_str()).collect();
        for (target, trace) in &mut self.listed {
            if !named.contains(target.as_str()) {
                trace.leaving = false;
                trace.live_since = None;
            }
        }
        rumours
    }

    /// Takes back marks that the list has shown as over for the hold.
    pub(crate) fn settle(&mut self, hold: Duration, now: Instant) -> Vec<PeerRumour> {
        let mut settled = Vec::new();
        for (target, trace) in &mut self.listed {
            let since = trace.live_since.filter(|_| trace.shown_leaving);
            if since.is_some_and(|since| now.saturating_duration_since(since) >= hold) {
                trace.shown_leaving = false;
                settled.push(target.clone());
            }
        }
        let mut rumours = Vec::new();
        for target in settled {
            rumours.extend(self.clear_source(&target, MarkSource::HostList, now));
            rumours.extend(self.clear_source(&target, MarkSource::Target, now));
        }
        rumours
    }

    /// Takes in the targets that the sheet in force marks; sheets never go back, so a live word
    /// counts as soon as an earlier sheet here had the mark.
    pub(crate) fn on_sheet(
        &mut self,
        leaving: BTreeSet<TargetId>,
        since: HybridTime,
        now: Instant,
    ) -> Vec<PeerRumour> {
        let before = std::mem::replace(&mut self.sheet_marked, leaving.clone());
        let mut rumours = Vec::new();
        for target in leaving.difference(&before) {
            rumours.extend(self.mark(target, MarkSource::Sheet, since, now));
        }
        for target in before.difference(&leaving) {
            rumours.extend(self.clear_source(target, MarkSource::Sheet, now));
        }
        rumours
    }

    /// Number of words.
    pub(crate) fn len(&self) -> usize {
        self.words.len()
    }

    /// One of the words as a rumour.
    pub(crate) fn rumour(&self, index: usize) -> Option<PeerRumour> {
        let ((target, source), word) = self.words.iter().nth(index)?;
        Some(word.rumour(target, *source))
    }

    /// Drops cleared marks that are old, and the oldest words if there are too many.
    pub(crate) fn prune(&mut self, now: Instant) {
        self.words.retain(|_, word| {
            !word.clear || now.saturating_duration_since(word.seen) < CLEARED_KEPT
        });
        while self.words.len() > MAX_WORDS {
            let oldest = self
                .words
                .iter()
                .min_by_key(|(_, word)| (!word.clear, word.seen))
                .map(|(key, _)| key.clone());
            if let Some(key) = oldest {
                self.words.remove(&key);
            }
        }
    }

    fn list_leaving(
        &mut self,
        row: &TargetStatus,
        since: HybridTime,
        lag: Duration,
        now: Instant,
        first: bool,
    ) -> Vec<PeerRumour> {
        let trace = self.listed.entry(row.target.clone()).or_default();
        let begins = !std::mem::replace(&mut trace.leaving, true);
        trace.shown_leaving = true;
        trace.live_since = None;
        if !begins || self.cleared_within(&row.target, lag, now) {
            return Vec::new();
        }
        if first {
            let weakest = HybridTime::default().successor();
            let key = (row.target.clone(), MarkSource::HostList);
            if !self.words.contains_key(&key) {
                self.say(&row.target, MarkSource::HostList, weakest, false, now);
            }
            return Vec::new();
        }
        self.mark(&row.target, MarkSource::HostList, since, now)
    }

    fn list_live(&mut self, row: &TargetStatus, now: Instant) {
        let trace = self.listed.entry(row.target.clone()).or_default();
        trace.leaving = false;
        trace.live_since.get_or_insert(now);
    }

    /// True if the list's mark was cleared so lately that a lagging list may still come to show
    /// the old one.
    fn cleared_within(&self, target: &str, lag: Duration, now: Instant) -> bool {
        let word = self.words.get(&(target.to_string(), MarkSource::HostList));
        word.is_some_and(|word| word.clear && now.saturating_duration_since(word.seen) < lag)
    }

    fn clear_source(&mut self, target: &str, source: MarkSource, now: Instant) -> Vec<PeerRumour> {
        let key = (target.to_string(), source);
        match self.words.get(&key) {
            Some(word) if !word.clear => {
                let since = word.since.successor();
                self.say(target, source, since, true, now)
            }
            _ => Vec::new(),
        }
    }

    fn is_marked(&self, target: &str, source: MarkSource) -> bool {
        let word = self.words.get(&(target.to_string(), source));
        word.is_some_and(|word| !word.clear)
    }

    fn later_than_known(&self, target: &str, source: MarkSource, since: HybridTime) -> HybridTime {
        let known = self.words.get(&(target.to_string(), source));
        known.map_or(since, |word| since.max(word.since.successor()))
    }

    fn say(
        &mut self,
        target: &str,
        source: MarkSource,
        since: HybridTime,
        clear: bool,
        now: Instant,
    ) -> Vec<PeerRumour> {
        let word = TargetWord {
            since,
            clear,
            seen: now,
        };
        let rumour = word.rumour(target, source);
        self.words.insert((target.to_string(), source), word);
        vec![rumour]
    }
}
