use std::time::Duration;

/// Longest interval between two calls to a limited target. A target that wants no calls gets one so
/// often all the same, since only its answers tell when the limit ends.
const MAX_CALL_INTERVAL: Duration = Duration::from_secs(5);

/// What a target says in an answer of the number of calls that it takes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LimitWord {
    /// It names no limit.
    #[default]
    Unlimited,
    /// It takes one call of all entries together in this interval, on average.
    Every(Duration),
    /// It names a limit that cannot be read; what it said before goes on to hold.
    Unreadable,
}

/// What a target says in an answer of the calls that it takes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetWord {
    /// Its limit.
    pub limit: LimitWord,
    /// True if it falls over when it has to turn away too many calls.
    pub is_brittle: bool,
}

impl From<LimitWord> for TargetWord {
    fn from(limit: LimitWord) -> Self {
        Self {
            limit,
            is_brittle: false,
        }
    }
}

/// Returns the mean interval between calls for a limit in calls a second, at most 5 s: a limit of
/// zero or less has that interval too. `None` if the limit is not a finite number.
///
/// ```
/// use std::time::Duration;
///
/// assert_eq!(limit::call_interval(4.0), Some(Duration::from_millis(250)));
/// assert_eq!(limit::call_interval(-1.0), Some(Duration::from_secs(5)));
/// assert_eq!(limit::call_interval(f64::NAN), None);
/// ```
pub fn call_interval(calls_per_second: f64) -> Option<Duration> {
    if !calls_per_second.is_finite() {
        return None;
    }
    if calls_per_second <= 0.0 {
        return Some(MAX_CALL_INTERVAL);
    }
    let interval = Duration::try_from_secs_f64(1.0 / calls_per_second);
    Some(interval.map_or(MAX_CALL_INTERVAL, |interval| {
        interval.min(MAX_CALL_INTERVAL)
    }))
}
