use std::{collections::HashMap, time::Duration};

/// Weight of the latest time in the mean.
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of the latest difference from the mean in the mean difference.
const DEVIATION_WEIGHT: f64 = 0.25;
/// Number of mean differences above the mean within which most requests end.
const DEVIATIONS: f64 = 2.0;
/// Maximum number of routes that are remembered; beyond it all are forgotten.
const MAX_ROUTES: usize = 4_096;

/// How long the requests of each route take from their sending to the end of their answers.
///
/// ```
/// use {limit::RunTimes, std::time::Duration};
///
/// let mut times = RunTimes::default();
/// assert_eq!(times.expected("chat"), None);
/// for _ in 0..50 {
///     times.record("chat", Duration::from_millis(200));
/// }
/// let expected = times.expected("chat").unwrap();
/// assert!(expected >= Duration::from_millis(200) && expected < Duration::from_millis(210));
/// ```
#[derive(Debug, Default)]
pub struct RunTimes {
    routes: HashMap<String, RouteTime>,
}

/// Times of a route, in seconds.
#[derive(Debug, Clone, Copy)]
struct RouteTime {
    mean: f64,
    /// Mean difference from the mean.
    deviation: f64,
}

impl RunTimes {
    /// Records the time of one request of a route.
    pub fn record(&mut self, route: &str, time: Duration) {
        let time = time.as_secs_f64();
        if let Some(known) = self.routes.get_mut(route) {
            let difference = time - known.mean;
            known.mean += MEAN_WEIGHT * difference;
            known.deviation += DEVIATION_WEIGHT * (difference.abs() - known.deviation);
            return;
        }
        if self.routes.len() >= MAX_ROUTES {
            self.routes.clear();
        }
        let first = RouteTime {
            mean: time,
            deviation: time / 2.0,
        };
        self.routes.insert(route.to_string(), first);
    }

    /// Returns the time within which most requests of a route end; `None` if none has ended.
    pub fn expected(&self, route: &str) -> Option<Duration> {
        let known = self.routes.get(route)?;
        let seconds = known.mean + DEVIATIONS * known.deviation;
        Duration::try_from_secs_f64(seconds).ok()
    }
}
