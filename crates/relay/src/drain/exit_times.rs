use std::time::{Duration, Instant};

/// Share of the grace time after which a stream is accepted only if it surely ends in time.
const LATE_SHARE: f64 = 0.35;
/// Share of the grace time in which requests are still accepted, since callers cache addresses.
const ACCEPT_SHARE: f64 = 0.4;
/// Share of the grace time after which a request whose answer has not begun is refused.
const ANSWER_SHARE: f64 = 0.86;
/// Share of the grace time after which streams are cut.
const CUT_SHARE: f64 = 0.9;
/// Share of the grace time after which the process exits, whatever is still open.
const EXIT_SHARE: f64 = 0.93;

/// The times of a shutdown, in the order in which they come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExitTimes {
    /// Streams that have arrived whole after this must surely end before they would be cut.
    pub late_from: Instant,
    /// No connections are accepted after this.
    pub accept_until: Instant,
    /// Requests whose answers have not begun are refused at this time.
    pub answer_by: Instant,
    /// Streams are cut at this time.
    pub cut_at: Instant,
    /// The process exits at the latest.
    pub exit_at: Instant,
}

impl ExitTimes {
    /// Returns the times of a shutdown that begins now and has the time `grace`.
    pub fn new(now: Instant, grace: Duration) -> Self {
        Self {
            late_from: now + grace.mul_f64(LATE_SHARE),
            accept_until: now + grace.mul_f64(ACCEPT_SHARE),
            answer_by: now + grace.mul_f64(ANSWER_SHARE),
            cut_at: now + grace.mul_f64(CUT_SHARE),
            exit_at: now + grace.mul_f64(EXIT_SHARE),
        }
    }

    /// Returns true if a stream that has arrived whole by `now` and has this deadline is late and could
    /// still run when answers must have begun.
    pub fn may_cut(&self, deadline: Instant, now: Instant) -> bool {
        now >= self.late_from && deadline > self.answer_by
    }
}
