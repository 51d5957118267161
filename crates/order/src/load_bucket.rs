use std::time::{Duration, Instant};

/// Token bucket that limits model loads, so that all owners together stay within the load rate of
/// the weight store.
///
/// An order that loads several models cannot be split, because the engine would then be in a state
/// that no sheet wants. Such an order may overdraw the bucket, and the next one waits longer.
///
/// ```
/// use {order::LoadBucket, std::time::{Duration, Instant}};
///
/// let now = Instant::now();
/// let mut bucket = LoadBucket::new(2.0, now);
/// bucket.set_owner_count(4);
/// assert_eq!(bucket.take(1, now), Ok(()));
/// assert_eq!(bucket.take(1, now), Err(Duration::from_secs(2)));
/// assert_eq!(bucket.take(1, now + Duration::from_secs(2)), Ok(()));
/// ```
#[derive(Debug, Clone)]
pub struct LoadBucket {
    fleet_rate: f64,
    /// This owner's part of the fleet's rate, in loads per second.
    owner_rate: f64,
    /// Loads that are available, at most 1; negative after an overdraft.
    level: f64,
    refilled_at: Instant,
}

impl LoadBucket {
    /// Creates a full bucket, which holds one load; `fleet_rate` is the limit of the whole fleet in
    /// loads per second.
    pub fn new(fleet_rate: f64, now: Instant) -> Self {
        Self {
            fleet_rate,
            owner_rate: fleet_rate,
            level: 1.0,
            refilled_at: now,
        }
    }

    /// Sets the number of owners that share the fleet's rate equally; 0 counts as 1.
    pub fn set_owner_count(&mut self, owners: usize) {
        self.owner_rate = self.fleet_rate / owners.max(1) as f64;
    }

    /// Takes `loads` loads from the bucket; 0 loads can always be taken.
    ///
    /// # Errors
    ///
    /// Returns the time until the bucket is full again, and takes nothing, if it is not full.
    pub fn take(&mut self, loads: usize, now: Instant) -> Result<(), Duration> {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.level = (self.level + elapsed.as_secs_f64() * self.owner_rate).min(1.0);
        self.refilled_at = now;
        if loads == 0 {
            return Ok(());
        }
        if self.level < 1.0 {
            let wait_seconds = (1.0 - self.level) / self.owner_rate;
            return Err(Duration::try_from_secs_f64(wait_seconds).unwrap_or(Duration::MAX));
        }
        self.level -= loads as f64;
        Ok(())
    }
}
