use crate::{JobId, PieceOutcome, PieceWork, StageResult};

/// Number of a call.
pub type CallId = u64;

/// What is to be done next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchAction {
    /// Make a call.
    Call {
        /// Number of the call.
        call: CallId,
        /// Target that it goes to.
        target: String,
        /// Its pieces.
        work: Vec<PieceWork>,
    },
    /// Calls have fetched all that the pieces of an order are made from.
    InputsRead {
        /// The order.
        job: JobId,
    },
    /// All pieces of an order are made.
    Made {
        /// The order.
        job: JobId,
        /// Results in the order of the pieces.
        results: Vec<StageResult>,
    },
    /// An order cannot be completed.
    Failed {
        /// The order.
        job: JobId,
        /// Why.
        outcome: PieceOutcome,
    },
    /// Tell a target that results are no longer needed.
    Free {
        /// The target.
        target: String,
        /// The results.
        results: Vec<String>,
    },
}
