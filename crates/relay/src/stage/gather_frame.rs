use {
    piece::{PieceOutcome, StageJob, StageResult},
    plan::ServiceId,
    serde::{Deserialize, Serialize},
};

/// A message between an entry that needs pieces and the one that gathers them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GatherFrame {
    /// Asks for pieces; the number is the asking entry's own.
    Order {
        /// Number that the answer repeats.
        number: u64,
        /// Pool that makes them.
        pool: ServiceId,
        /// What is needed.
        order: StageJob,
    },
    /// Takes an order back.
    Cancel {
        /// Number of the order.
        number: u64,
    },
    /// Says that results are no longer needed.
    Free {
        /// Pool that made them.
        pool: ServiceId,
        /// The results.
        results: Vec<StageResult>,
    },
    /// What the pieces of an order are made from has been fetched.
    InputsRead {
        /// Number of the order.
        number: u64,
    },
    /// All pieces of an order are made.
    Made {
        /// Number of the order.
        number: u64,
        /// Their results.
        results: Vec<StageResult>,
    },
    /// An order cannot be completed.
    Failed {
        /// Number of the order.
        number: u64,
        /// Why.
        end: PieceOutcome,
    },
}
