use {
    crate::{JobId, StageJob, StageResult},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// An order whose pieces are not all made.
#[derive(Debug)]
pub struct PendingJob {
    pub job: StageJob,
    pub aim_at: Instant,
    pub due_at: Instant,
    pub waiting: VecDeque<u16>,
    pub made: Vec<Option<StageResult>>,
    /// Time by which the inputs were fetched, once all pieces are in calls.
    pub read_at: Option<Instant>,
    pub read_told: bool,
    pub tries: u32,
    pub failed: u32,
}

impl PendingJob {
    /// Order none of whose pieces has begun.
    pub fn new(job: StageJob, now: Instant) -> Self {
        Self {
            aim_at: now + job.aim_left,
            due_at: now + job.time_left,
            waiting: (0..job.pieces).collect(),
            made: vec![None; usize::from(job.pieces)],
            read_at: None,
            read_told: false,
            tries: 0,
            failed: 0,
            job,
        }
    }

    /// True if some of its pieces are made or being made.
    pub fn is_begun(&self) -> bool {
        self.waiting.len() < usize::from(self.job.pieces)
    }
}

/// A call that runs at a target.
#[derive(Debug)]
pub struct BatchCall {
    pub target: String,
    pub started: Instant,
    pub expected: Duration,
    pub bytes: u64,
    pub pieces: Vec<(JobId, u16, u64)>,
}
