use crate::{JobId, PieceOutcome, PieceWork, StageResult};

/// Number of a call, unique within one scheduler.
pub type CallId = u64;

/// What the caller of the scheduler has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchAction {
    /// Call a target.
    Call {
        /// Number of the call.
        call: CallId,
        /// Id of the target.
        target: String,
        /// Pieces that the target is to make, in this order.
        work: Vec<PieceWork>,
    },
    /// Report that the calls of a job have fetched all their inputs, so that these can be freed.
    InputsRead {
        /// Number of the job.
        job: JobId,
    },
    /// Hand over the results of a completed job.
    Made {
        /// Number of the job.
        job: JobId,
        /// One result for each piece, in the order of the pieces.
        results: Vec<StageResult>,
    },
    /// Report that a job cannot be completed.
    Failed {
        /// Number of the job.
        job: JobId,
        /// Outcome of the piece that caused the failure.
        outcome: PieceOutcome,
    },
    /// Tell a target that results are no longer needed.
    Free {
        /// Id of the target.
        target: String,
        /// Names of the results.
        results: Vec<String>,
    },
}
