use std::time::{Duration, Instant};

/// Rations loads of models, so that all owners together stay within the rate of the weight store.
///
/// An order that loads several models cannot be split, since the engine would then be in a state
/// that no sheet asks for; such an order may overdraw the bucket, and the next one waits longer.
///
/// ```
/// use {order::LoadBucket, std::time::{Duration, Instant}};
///
/// let now = Instant::now();
/// let mut bucket = LoadBucket::new(2.0, now);
/// bucket.share_among(4);
/// assert_eq!(bucket.take(1, now), Ok(()));
/// assert_eq!(bucket.take(1, now), Err(Duration::from_secs(2)));
/// assert_eq!(bucket.take(1, now + Duration::from_secs(2)), Ok(()));
/// ```
#[derive(Debug, Clone)]
pub struct LoadBucket {
    fleet_rate: f64,
    rate: f64,
    level: f64,
    filled_at: Instant,
}

impl LoadBucket {
    /// Bucket that holds one load; the rate is that of the whole fleet in loads a second.
    pub fn new(fleet_rate: f64, now: Instant) -> Self {
        Self {
            fleet_rate,
            rate: fleet_rate,
            level: 1.0,
            filled_at: now,
        }
    }

    /// Divides the fleet's rate among so many owners.
    pub fn share_among(&mut self, owners: usize) {
        self.rate = self.fleet_rate / owners.max(1) as f64;
    }

    /// Takes so many loads, or says how long to wait.
    ///
    /// # Errors
    ///
    /// Returns the wait, and takes nothing.
    pub fn take(&mut self, loads: usize, now: Instant) -> Result<(), Duration> {
        let passed = now.saturating_duration_since(self.filled_at);
        self.level = (self.level + passed.as_secs_f64() * self.rate).min(1.0);
        self.filled_at = now;
        if loads == 0 {
            return Ok(());
        }
        if self.level < 1.0 {
            let wait = (1.0 - self.level) / self.rate;
            return Err(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX));
        }
        self.level -= loads as f64;
        Ok(())
    }
}
