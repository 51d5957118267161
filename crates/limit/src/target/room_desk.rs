use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Time after which a place counts as free whatever became of its call, since the entry that has it
/// may be gone.
const LEASE_TIME: Duration = Duration::from_secs(8);
/// Time after the end of a call until its place is given out again: the target may notice the end
/// later than the entry.
const RELEASE_DELAY: Duration = Duration::from_millis(50);
/// Time for which a target that turned a call away gets none.
const REFUSAL_PAUSE: Duration = Duration::from_secs(1);
/// Time for which it then gets no more calls at once than it had.
const REDUCED_TIME: Duration = Duration::from_secs(5);
/// Time after which to ask again while all places are taken.
const FULL_RETRY: Duration = Duration::from_millis(20);

/// Places at one target.
#[derive(Debug, Default)]
struct RoomAccount {
    /// Times at which the places that are taken become free at the latest.
    taken_until: Vec<Instant>,
    /// Number of places when one was last asked for.
    places: u32,
    paused_until: Option<Instant>,
    /// Number of places since the target has turned a call away, and for how long it holds.
    reduced: Option<(u32, Instant)>,
}

/// Gives out the places at brittle targets at the entry that owns them, for all entries together: no
/// more calls at once than the target has slots, so that it has to turn none away.
///
/// It answers this load pattern: targets that fall over if they turn away more than a few requests
/// a second get more requests than they have room for, from many entries.
///
/// ```
/// use {
///     limit::RoomDesk,
///     std::time::{Duration, Instant},
/// };
///
/// let now = Instant::now();
/// let mut desk = RoomDesk::default();
/// assert!(desk.try_take("t1", 1, now).is_ok());
/// assert!(desk.try_take("t1", 1, now).is_err());
/// desk.release("t1", Duration::ZERO, false, now);
/// assert!(desk.try_take("t1", 1, now + Duration::from_millis(100)).is_ok());
/// ```
#[derive(Debug, Default)]
pub struct RoomDesk {
    accounts: BTreeMap<String, RoomAccount>,
}

impl RoomDesk {
    /// Takes a place at a target with this number of slots.
    ///
    /// # Errors
    ///
    /// Returns the time after which to ask again if there is none left now.
    pub fn try_take(&mut self, target: &str, slots: u32, now: Instant) -> Result<(), Duration> {
        for account in self.accounts.values_mut() {
            account.taken_until.retain(|until| *until > now);
        }
        self.accounts.retain(|_, account| account.is_in_use(now));
        let account = self.accounts.entry(target.to_string()).or_default();
        if let Some(paused_until) = account.paused_until.filter(|until| *until > now) {
            return Err(paused_until.saturating_duration_since(now));
        }
        let reduced = account.reduced.filter(|(_, until)| *until > now);
        account.places = reduced.map_or(slots, |(places, _)| places.min(slots).max(1));
        if account.taken_until.len() >= account.places as usize {
            return Err(FULL_RETRY);
        }
        account.taken_until.push(now + LEASE_TIME);
        Ok(())
    }

    /// Gives a place back that was taken for the time `held`. `is_refused` is true if the target has
    /// turned the call away.
    pub fn release(&mut self, target: &str, held: Duration, is_refused: bool, now: Instant) {
        let account = self.accounts.get_mut(target);
        let Some(account) = account.filter(|_| held < LEASE_TIME) else {
            return;
        };
        let ends_at = now + (LEASE_TIME - held);
        let distance = |until: &Instant| {
            let early = ends_at.saturating_duration_since(*until);
            early.max(until.saturating_duration_since(ends_at))
        };
        let taken = account.taken_until.iter().enumerate();
        let nearest = taken.min_by_key(|(_, until)| distance(until));
        let Some((position, _)) = nearest else {
            return;
        };
        account.taken_until.swap_remove(position);
        if is_refused {
            // Calls that were sent without a place may run there too, so the number of those taken
            // now tells little; each further refusal halves the places again.
            let taken = u32::try_from(account.taken_until.len()).unwrap_or(u32::MAX);
            let places = taken.max(account.places / 2);
            account.paused_until = Some(now + REFUSAL_PAUSE);
            account.reduced = Some((places, now + REDUCED_TIME));
        } else {
            account.taken_until.push(now + RELEASE_DELAY);
        }
    }
}

impl RoomAccount {
    fn is_in_use(&self, now: Instant) -> bool {
        let is_reduced = self.reduced.is_some_and(|(_, until)| until > now);
        is_reduced || !self.taken_until.is_empty()
    }
}
