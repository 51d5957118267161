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
    pub results: Vec<Option<StageResult>>,
    /// Time by which the inputs were fetched, once all pieces are in calls.
    pub inputs_read_at: Option<Instant>,
    pub is_read_reported: bool,
    pub requeues: u32,
    pub failures: u32,
}

impl PendingJob {
    /// Order none of whose pieces has begun.
    pub fn new(job: StageJob, now: Instant) -> Self {
        Self {
            aim_at: now + job.aim_left,
            due_at: now + job.time_left,
            waiting: (0..job.pieces).collect(),
            results: vec![None; usize::from(job.pieces)],
            inputs_read_at: None,
            is_read_reported: false,
            requeues: 0,
            failures: 0,
            job,
        }
    }

    /// True if some of its pieces are made or being made.
    pub fn is_started(&self) -> bool {
        self.waiting.len() < usize::from(self.job.pieces)
    }
}

/// A call that runs at a target.
#[derive(Debug)]
pub struct BatchCall {
    pub target: String,
    pub started_at: Instant,
    pub expected_time: Duration,
    pub bytes: u64,
    pub pieces: Vec<(JobId, u16, u64)>,
}
