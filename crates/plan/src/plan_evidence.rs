use std::time::Duration;

/// Time since the machine booted; unlike `Instant`, it advances while the machine is suspended.
pub type BootTime = Duration;

/// Evidence that the configuration in force is the latest one: the time at which this was last
/// confirmed.
///
/// A key may be revoked at any time. A request with a key is therefore sent only while the
/// evidence is no older than a limit.
///
/// ```
/// use {plan::PlanEvidence, std::time::Duration};
///
/// let mut evidence = PlanEvidence::default();
/// evidence.confirm(Duration::from_secs(10));
/// evidence.confirm(Duration::from_secs(9));
/// let limit = Duration::from_secs(3);
/// assert!(evidence.is_fresh(Duration::from_secs(13), limit));
/// assert!(!evidence.is_fresh(Duration::from_secs(14), limit));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlanEvidence {
    confirmed_at: Option<BootTime>,
}

impl PlanEvidence {
    /// Records that a read which began at `read_begun_at` found no later configuration. An earlier
    /// time than the one recorded is ignored.
    pub fn confirm(&mut self, read_begun_at: BootTime) {
        self.confirmed_at = self.confirmed_at.max(Some(read_begun_at));
    }

    /// Returns true if there is evidence of a read that began at this time or later.
    ///
    /// ```
    /// use {plan::PlanEvidence, std::time::Duration};
    ///
    /// let mut evidence = PlanEvidence::default();
    /// assert!(!evidence.is_since(Duration::ZERO));
    /// evidence.confirm(Duration::from_secs(10));
    /// assert!(evidence.is_since(Duration::from_secs(10)));
    /// assert!(!evidence.is_since(Duration::from_secs(11)));
    /// ```
    pub fn is_since(&self, time: BootTime) -> bool {
        self.confirmed_at >= Some(time)
    }

    /// Returns the age of the evidence, or `None` if nothing was confirmed yet.
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.confirmed_at
            .map(|confirmed_at| now.saturating_sub(confirmed_at))
    }

    /// Returns true if there is evidence that is no older than the limit.
    pub fn is_fresh(&self, now: BootTime, limit: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= limit)
    }
}
