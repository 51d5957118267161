use {
    crate::PartKey,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Time in which the outcome of a trial is expected; the part is not tried again within it.
const TRIAL_TIME: Duration = Duration::from_secs(5);

/// Grants trials of suspect parts at the entry that owns the part, so that one request at a time
/// tries it in the whole fleet.
///
/// ```
/// use {
///     retry::TrialDesk,
///     std::time::{Duration, Instant},
/// };
///
/// let start = Instant::now();
/// let later = start + Duration::from_secs(6);
/// let mut desk = TrialDesk::new(start);
/// assert!(!desk.try_grant(&[1], start));
/// assert!(desk.try_grant(&[1], later));
/// assert!(!desk.try_grant(&[1], later));
/// ```
#[derive(Debug)]
pub struct TrialDesk {
    /// Time from which on trials are granted. The owner before this process may have granted one.
    open_at: Instant,
    /// Ends of the times of granted trials.
    granted_until: BTreeMap<PartKey, Instant>,
}

impl TrialDesk {
    /// Creates the desk of a process that starts now.
    pub fn new(now: Instant) -> Self {
        Self {
            open_at: now + TRIAL_TIME,
            granted_until: BTreeMap::new(),
        }
    }

    /// Grants a trial of these parts unless one of them is being tried.
    pub fn try_grant(&mut self, parts: &[PartKey], now: Instant) -> bool {
        self.granted_until.retain(|_, until| *until > now);
        let is_tried = |part: &PartKey| self.granted_until.contains_key(part);
        if now < self.open_at || parts.iter().any(is_tried) {
            return false;
        }
        let until = now + TRIAL_TIME;
        self.granted_until
            .extend(parts.iter().map(|part| (*part, until)));
        true
    }
}
