use {
    piece::{JobRank, PieceOutcome, StageJob, StageResult},
    plan::ServiceId,
    serde::{Deserialize, Serialize},
    wire::{OLDEST_SCHEMA, SchemaNumber},
};

/// Schema from which on jobs are submitted with their ranks.
pub const RANK_SCHEMA: SchemaNumber = 2;

/// A message between an entry that needs the pieces of a job and the entry that owns the shard
/// whose targets make them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobFrame {
    /// Submits a job; sent to the owner.
    Submit {
        /// Number that later messages about the job repeat. The sender chooses it; it is unique
        /// within a connection.
        number: u64,
        /// Name of the shard.
        shard: ServiceId,
        /// The job.
        job: StageJob,
    },
    /// Cancels a job; sent to the owner.
    Cancel {
        /// Number of the job.
        number: u64,
    },
    /// Frees results that are no longer needed; sent to the owner.
    Free {
        /// Name of the shard whose targets store them.
        shard: ServiceId,
        /// The results.
        results: Vec<StageResult>,
    },
    /// The inputs of all pieces of a job have been fetched; sent by the owner.
    InputsRead {
        /// Number of the job.
        number: u64,
    },
    /// All pieces of a job were made; sent by the owner.
    Made {
        /// Number of the job.
        number: u64,
        /// The results.
        results: Vec<StageResult>,
    },
    /// A job failed; sent by the owner.
    Failed {
        /// Number of the job.
        number: u64,
        /// Why it failed.
        outcome: PieceOutcome,
    },
    /// Like [`JobFrame::Submit`], with the rank of the job.
    SubmitRanked {
        /// Number that later messages about the job repeat, as in [`JobFrame::Submit`].
        number: u64,
        /// Name of the shard.
        shard: ServiceId,
        /// The job.
        job: StageJob,
        /// How urgent it is, and whose.
        rank: JobRank,
    },
}

impl JobFrame {
    /// Returns the lowest schema that has the message.
    pub fn schema(&self) -> SchemaNumber {
        match self {
            Self::SubmitRanked { .. } => RANK_SCHEMA,
            _ => OLDEST_SCHEMA,
        }
    }
}
