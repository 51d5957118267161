use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Number of a job, unique within one scheduler.
pub type JobId = u64;

/// A reference to the result of a piece, which is stored at the target that made it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageResult {
    /// Id of the target that made the piece and stores the result.
    pub maker: String,
    /// Name under which other targets fetch it.
    pub name: String,
}

/// Input of a piece.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PieceInput {
    /// A key that the caller gave with the request.
    Key(String),
    /// Names of results of earlier stages.
    Results(Vec<String>),
}

/// All pieces of one stage of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageJob {
    /// Identifier that the caller gave the request.
    pub request: String,
    /// Position of the stage in its pipeline.
    pub stage: u16,
    /// Number of pieces.
    pub pieces: u16,
    /// Input of every piece.
    pub input: PieceInput,
    /// Approximate size of one result in bytes.
    pub result_bytes: u64,
    /// Time left in which the pieces must be made so that the request meets its latency goal;
    /// pieces made later are still useful.
    pub aim_left: Duration,
    /// Time left until the deadline, after which the pieces are of no use.
    pub time_left: Duration,
    /// Preferred data centre: the one that needs the results or stores the inputs; `None` if both
    /// are small.
    pub data_centre: Option<String>,
}

/// A piece as part of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PieceWork {
    /// Job that the piece belongs to.
    pub job: JobId,
    /// Identifier that the caller gave the request.
    pub request: String,
    /// Position of the stage in its pipeline.
    pub stage: u16,
    /// Position of the piece in its stage.
    pub piece: u16,
    /// Time left until the deadline, after which the piece is of no use.
    pub time_left: Duration,
    /// Input of the piece.
    pub input: PieceInput,
}

/// Outcome of the work on a piece.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PieceOutcome {
    /// The piece was made; its result has this name at the target.
    Made(String),
    /// The deadline passed, or would have passed, before the piece was made.
    Late,
    /// A result that the piece needs no longer exists.
    InputGone,
    /// The target had no room for the result.
    NoRoom,
    /// The target failed.
    Failed,
    /// Another entry now owns the shard of the pool; the job was not started.
    Moved,
}
