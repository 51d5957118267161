use {
    crate::{JobId, JobRank, StageJob, StageResult},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Longest time left that a job can have, longer than any caller waits.
const MAX_TIME_LEFT: Duration = Duration::from_secs(86_400);

/// A job some of whose pieces are not made yet.
#[derive(Debug)]
pub struct PendingJob {
    pub job: StageJob,
    pub rank: JobRank,
    /// Time by which all pieces must be made so that the request meets its latency goal.
    pub goal_at: Instant,
    /// Deadline, after which the pieces are of no use.
    pub due_at: Instant,
    /// Positions of the pieces that wait for a call.
    pub waiting: VecDeque<u16>,
    /// Results by position of the piece; `None` while a piece is not made.
    pub results: Vec<Option<StageResult>>,
    /// Time at which all inputs count as read; `None` while pieces wait for a call.
    pub inputs_read_at: Option<Instant>,
    /// True once [`BatchAction::InputsRead`](crate::BatchAction::InputsRead) was returned for the
    /// job.
    pub is_read_reported: bool,
    /// Number of times that a piece was requeued.
    pub requeues: u32,
    /// Requeues that were not due to a lack of room.
    pub failures: u32,
}

impl PendingJob {
    /// Creates a job all of whose pieces wait for a call.
    pub fn new(job: StageJob, rank: JobRank, now: Instant) -> Self {
        Self {
            rank,
            goal_at: now + job.aim_left.min(MAX_TIME_LEFT),
            due_at: now + job.time_left.min(MAX_TIME_LEFT),
            waiting: (0..job.pieces).collect(),
            results: vec![None; usize::from(job.pieces)],
            inputs_read_at: None,
            is_read_reported: false,
            requeues: 0,
            failures: 0,
            job,
        }
    }

    /// True if at least one piece is made or being made.
    pub fn is_started(&self) -> bool {
        self.waiting.len() < usize::from(self.job.pieces)
    }
}

/// A call that is running at a target.
#[derive(Debug)]
pub struct BatchCall {
    pub target: String,
    pub started_at: Instant,
    /// Time of the call at a target of average speed.
    pub expected_time: Duration,
    /// Room reserved for the results of the call.
    pub bytes: u64,
    /// Job, position and result size in bytes of each piece.
    pub pieces: Vec<(JobId, u16, u64)>,
}
