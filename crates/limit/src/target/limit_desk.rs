use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Share of a target's limit that is given out. The rest is for calls that are on their way for
/// longer than others, and for the moment in which two entries take themselves for the owner.
const GRANT_SHARE: f64 = 0.9;
/// Time for which calls that were not used may be made up for.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Longest interval between calls, longer than any target needs.
const MAX_INTERVAL: Duration = Duration::from_secs(60);
/// Maximum time by which callers that are turned away are spread.
const MAX_SPREAD: Duration = Duration::from_secs(4);
/// Time without calls after which a target's row is deleted.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct LimitAccount {
    /// Time at which all calls given out so far would have ended at an even pace.
    paid_until: Instant,
    /// Number of calls turned away since the last one that was given out.
    turned_away: u32,
    used_at: Instant,
}

/// Gives out the calls to limited targets at the entry that owns them, for all entries together.
///
/// It answers this load pattern: a target in need takes one call a second, and hundreds of entries
/// have requests for it. Who is turned away is told when to ask again, one after the other, so that
/// they do not all come back for the same call. An account starts empty, since the owner before may
/// just have given out a call.
///
/// ```
/// use {
///     limit::LimitDesk,
///     std::time::{Duration, Instant},
/// };
///
/// let now = Instant::now();
/// let mut desk = LimitDesk::default();
/// let wait = desk.try_take("t1", Duration::from_secs(1), now).unwrap_err();
/// assert!(desk.try_take("t1", Duration::from_secs(1), now + wait).is_ok());
/// assert!(desk.try_take("t1", Duration::from_secs(1), now + wait).is_err());
/// ```
#[derive(Debug, Default)]
pub struct LimitDesk {
    accounts: BTreeMap<String, LimitAccount>,
}

impl LimitDesk {
    /// Takes one call to a target that takes one in each `interval`.
    ///
    /// # Errors
    ///
    /// Returns the time after which to ask again if there is none left now.
    pub fn try_take(
        &mut self,
        target: &str,
        interval: Duration,
        now: Instant,
    ) -> Result<(), Duration> {
        self.accounts
            .retain(|_, account| now.saturating_duration_since(account.used_at) < IDLE_TIMEOUT);
        let interval = interval.min(MAX_INTERVAL).div_f64(GRANT_SHARE);
        let account = self.accounts.entry(target.to_string());
        let account = account.or_insert_with(|| LimitAccount {
            paid_until: now + BURST_TIME + interval,
            turned_away: 0,
            used_at: now,
        });
        account.used_at = now;
        let wait = account
            .paid_until
            .saturating_duration_since(now + BURST_TIME);
        if wait.is_zero() {
            account.paid_until = account.paid_until.max(now) + interval;
            account.turned_away = 0;
            return Ok(());
        }
        let spread = interval.saturating_mul(account.turned_away);
        account.turned_away = account.turned_away.saturating_add(1);
        Err(wait + spread.min(MAX_SPREAD))
    }

    /// Returns true if this entry has given out calls to the target within the last minute.
    pub fn has_account(&self, target: &str) -> bool {
        self.accounts.contains_key(target)
    }
}
