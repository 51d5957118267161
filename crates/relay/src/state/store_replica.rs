use {
    crate::{
        dialect::{StoreChanges, StorePage},
        state::{
            AnswerOrigin, StateView, StoreRequest, change_log::ChangeLog,
            held_targets::HeldTargets, passed_targets::PassedTargets, read_phase::ReadPhase,
        },
    },
    plan::{BootTime, PlanVersion, StorePosition},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Longest time for which a watch waits for changes. A broken connection is noticed earlier, by the
/// short checks that refresh the evidence.
const WATCH_WAIT: Duration = Duration::from_millis(5_000);
/// Longest time for which the first watch of a process waits, since the process may follow a peer
/// once it has heard of the others.
const FIRST_WATCH_WAIT: Duration = Duration::from_secs(1);
/// Time after the start of the process within which a watch counts as the first one.
const FIRST_WATCH_TIME: Duration = Duration::from_secs(3);
/// Longest time for which a check waits for changes.
const CHECK_WAIT: Duration = Duration::from_millis(1);
/// Delay between an answer to a watch and the next watch.
const WATCH_DELAY: Duration = Duration::from_millis(300);

/// Local copy of the store's contents, which outlasts outages of the store and gaps in its history.
///
/// It does no I/O: it is given answers and faults, and returns the next request and its time. A
/// configuration is never replaced by an older one. Targets that expire in the store during an
/// outage are kept until they have had time to register again.
///
/// The store may come back from an older copy, with a higher era. Answers of an older era are then
/// ignored, everything is read again, and what bound before, such as a leaving target, binds until
/// the new era has stated it.
#[derive(Debug)]
pub struct StoreReplica {
    pub(super) view: StateView,
    pub(super) phase: ReadPhase,
    /// Position up to which all changes are known.
    pub(super) position: StorePosition,
    /// Time at which the process started.
    pub(super) started_at: Instant,
    /// Time at which this entry learnt of the present era, which the store begins when it has lost its
    /// latest changes; `None` in the first one.
    pub(super) era_begun_at: Option<Instant>,
    /// True if this entry knew an earlier era: what it learnt there outlasts the loss.
    pub(super) has_seen_era_begin: bool,
    /// Targets that an older copy of the store must not bring back.
    pub(super) held_targets: HeldTargets,
    /// Targets that may be in no view.
    pub(super) passed_targets: PassedTargets,
    /// Latest changes, which are passed on to peers.
    pub(super) change_log: ChangeLog,
    /// Number of calls that failed in a row.
    pub(super) failed_call_count: u32,
    /// True while calls to the store fail.
    pub(super) lacks_store: bool,
    /// Time of the next request.
    pub(super) next_at: Instant,
    /// Time of the store's first answer after the latest outage in which items of targets can have
    /// expired; `None` if there was none.
    pub(super) store_returned_at: Option<Instant>,
    /// Latest time at which the store is known to have answered this entry or another one.
    pub(super) last_answer_at: Option<Instant>,
    /// Time at which a call last failed.
    pub(super) last_fault_at: Option<Instant>,
    /// Ids of the targets that are kept although the store no longer lists them, each with the time
    /// until which it is kept.
    pub(super) missing_until: BTreeMap<String, Instant>,
    /// Keys of items that could not be parsed, with the reason.
    pub(super) unreadable: Vec<(String, String)>,
    /// Latest version of the configuration that a live peer has in force; 0 if none is known.
    pub(super) latest_peer_plan: PlanVersion,
    /// True until the process has heard of a peer, if there are any.
    pub(super) awaits_peers: bool,
    /// Time at which the configuration was the latest one by answers that are no evidence yet.
    pub(super) held_back: Option<BootTime>,
}

impl StoreReplica {
    /// Creates an empty replica, whose first request is due at once.
    pub fn new(now: Instant) -> Self {
        Self {
            view: StateView::default(),
            phase: ReadPhase::start(),
            position: StorePosition::default(),
            started_at: now,
            era_begun_at: None,
            has_seen_era_begin: false,
            held_targets: HeldTargets::default(),
            passed_targets: PassedTargets::default(),
            change_log: ChangeLog::default(),
            failed_call_count: 0,
            lacks_store: false,
            next_at: now,
            store_returned_at: None,
            last_answer_at: None,
            last_fault_at: None,
            missing_until: BTreeMap::new(),
            unreadable: Vec::new(),
            latest_peer_plan: 0,
            awaits_peers: false,
            held_back: None,
        }
    }

    /// Returns the contents of the store as far as this entry knows them.
    pub fn view(&self) -> &StateView {
        &self.view
    }

    /// Returns the next request and the time at which it should be sent.
    pub fn next_request(&self) -> (StoreRequest, Instant) {
        let request = match &self.phase {
            ReadPhase::Reading { after, .. } => StoreRequest::Read {
                after: after.clone(),
            },
            ReadPhase::Watching => StoreRequest::Watch {
                revision: self.position.revision,
                wait: match self.next_at < self.started_at + FIRST_WATCH_TIME {
                    true => FIRST_WATCH_WAIT,
                    false => WATCH_WAIT,
                },
            },
        };
        (request, self.next_at)
    }

    /// Returns the request that checks for changes without waiting for them; `None` while all
    /// items are being read.
    pub fn check_request(&self) -> Option<StoreRequest> {
        self.is_watching().then_some(StoreRequest::Watch {
            revision: self.position.revision,
            wait: CHECK_WAIT,
        })
    }

    /// Returns true once all items have been read.
    pub fn is_watching(&self) -> bool {
        matches!(self.phase, ReadPhase::Watching)
    }

    /// Returns the position up to which all changes are known.
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Returns the latest changes, which are passed on to peers.
    pub fn change_log(&self) -> &ChangeLog {
        &self.change_log
    }

    /// Returns the number of calls that failed in a row.
    pub fn failed_call_count(&self) -> u32 {
        self.failed_call_count
    }

    /// Returns true while this entry gets no answers from the store, so that others must not rely on
    /// it for news.
    pub fn lacks_store(&self) -> bool {
        self.lacks_store
    }

    /// Returns the keys of items that could not be parsed since the last call, with the reason.
    pub fn take_unreadable(&mut self) -> Vec<(String, String)> {
        std::mem::take(&mut self.unreadable)
    }

    /// Returns what was listed since the last call and may be in no view.
    pub fn take_passed_targets(&mut self) -> PassedTargets {
        std::mem::take(&mut self.passed_targets)
    }

    /// Applies a page. The items take effect with the last page.
    pub fn on_page(&mut self, page: StorePage, origin: AnswerOrigin, now: Instant) {
        let known_era = self.position.era;
        let is_later_page = matches!(self.phase, ReadPhase::Reading { after: Some(_), .. });
        if !self.accept_era(origin.era, now) {
            return;
        }
        self.record_contact(self.next_at.min(now));
        if is_later_page && self.position.era != known_era {
            // The pages before are of the era that has ended.
            return;
        }
        let ReadPhase::Reading {
            mut items,
            first_origin,
            ..
        } = std::mem::replace(&mut self.phase, ReadPhase::Watching)
        else {
            return;
        };
        if first_origin.is_none() {
            self.position.revision = page.revision;
        }
        let first_origin = first_origin.unwrap_or(origin);
        items.extend(page.items);
        match page.next {
            Some(next) => {
                self.phase = ReadPhase::Reading {
                    items,
                    after: Some(next),
                    first_origin: Some(first_origin),
                }
            }
            None => self.apply_full_read(items, first_origin, now),
        }
        self.next_at = now;
    }

    /// Applies the answer to a watch.
    pub fn on_changes(&mut self, changes: StoreChanges, origin: AnswerOrigin, now: Instant) {
        if self.may_apply(origin) {
            self.record_contact(self.next_at.min(now));
        }
        self.apply_changes(changes, origin, now);
        self.next_at = now + WATCH_DELAY;
    }

    /// Applies the answer to a check. Returns true if it brought changes that the watch has not, so
    /// that the watch must be restarted.
    pub fn on_check(&mut self, changes: StoreChanges, origin: AnswerOrigin, now: Instant) -> bool {
        if !self.is_watching() {
            return false;
        }
        let known_position = self.position;
        if self.may_apply(origin) {
            self.record_contact(now);
        }
        self.apply_changes(changes, origin, now);
        self.position > known_position
    }

    /// Returns true for an answer that is not of an earlier era, while changes are asked for.
    fn may_apply(&self, origin: AnswerOrigin) -> bool {
        origin.era >= self.position.era && self.is_watching()
    }

    /// Returns the time since the store's first answer after its latest outage in which items of
    /// targets can have expired; `None` if there was none.
    pub fn returned_ago(&self, now: Instant) -> Option<Duration> {
        self.store_returned_at
            .map(|returned_at| now.saturating_duration_since(returned_at))
    }

    /// Removes targets that did not register again within the grace time after an outage. Returns
    /// true if there were any. Reads the store again once its list can be trusted after a loss of
    /// changes.
    pub fn remove_expired(&mut self, now: Instant) -> bool {
        if self.held_targets.take_expiry(now) {
            self.view.evacuations.trust_era();
            self.phase = ReadPhase::start();
            self.next_at = now;
        }
        let expired: Vec<String> = self
            .missing_until
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.missing_until.remove(id);
            self.remove_target(id, now);
        }
        !expired.is_empty()
    }
}
