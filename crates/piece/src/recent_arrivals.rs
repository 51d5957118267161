use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Time over which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// A job that arrived and could still meet its goal.
#[derive(Debug)]
struct Arrival {
    at: Instant,
    pieces: usize,
}

/// Pieces of jobs that have arrived lately and could still meet their goal: such jobs will go on to
/// overtake those that are late.
///
/// It answers this load pattern: for some seconds timely work alone fills a pool. Late jobs that
/// are let in by the work before them now never get their turn, and hold the results of their
/// earlier stages until they fail.
///
/// ```
/// use {
///     piece::RecentArrivals,
///     std::time::{Duration, Instant},
/// };
///
/// let now = Instant::now();
/// let mut arrivals = RecentArrivals::default();
/// arrivals.record(30, now);
/// arrivals.record(10, now);
/// assert_eq!(arrivals.pieces(now), 40);
/// assert_eq!(arrivals.pieces(now + Duration::from_secs(2)), 0);
/// ```
#[derive(Debug, Default)]
pub struct RecentArrivals {
    arrivals: VecDeque<Arrival>,
}

impl RecentArrivals {
    /// Records that a job with this number of pieces arrived.
    pub fn record(&mut self, pieces: usize, now: Instant) {
        while self
            .arrivals
            .front()
            .is_some_and(|first| now.saturating_duration_since(first.at) >= WINDOW)
        {
            self.arrivals.pop_front();
        }
        self.arrivals.push_back(Arrival { at: now, pieces });
    }

    /// Returns the number of pieces of the jobs that arrived within the last second.
    pub fn pieces(&self, now: Instant) -> usize {
        let recent = self.arrivals.iter();
        let recent = recent.filter(|arrival| now.saturating_duration_since(arrival.at) < WINDOW);
        recent.map(|arrival| arrival.pieces).sum()
    }
}
