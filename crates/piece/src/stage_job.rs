use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Number of an order at the entry that gathers.
pub type JobId = u64;

/// A finished piece, where its maker keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageResult {
    /// Id of the target that made it.
    pub maker: String,
    /// What other targets call it.
    pub name: String,
}

/// What a piece is made from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PieceInput {
    /// The caller's own key.
    Key(String),
    /// Results of earlier stages.
    Results(Vec<String>),
}

/// All pieces of one stage of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageJob {
    /// The request, as its caller named it.
    pub request: String,
    /// Position of the stage.
    pub stage: u16,
    /// Number of pieces.
    pub pieces: u16,
    /// What each piece is made from.
    pub input: PieceInput,
    /// Size of one result, in bytes, roughly.
    pub result_bytes: u64,
    /// Time in which the pieces are of full use.
    pub aim_left: Duration,
    /// Time after which they are of no use.
    pub time_left: Duration,
    /// Data centre in which the results are needed or the inputs lie, if they are large.
    pub data_centre: Option<String>,
}

/// One piece in a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PieceWork {
    /// Order that it belongs to.
    pub job: JobId,
    /// The request, as its caller named it.
    pub request: String,
    /// Position of the stage.
    pub stage: u16,
    /// Position of the piece.
    pub piece: u16,
    /// Time after which it is of no use.
    pub time_left: Duration,
    /// What it is made from.
    pub input: PieceInput,
}

/// How a piece ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PieceOutcome {
    /// Its result, as the target names it.
    Made(String),
    /// Its time was over before its turn.
    Late,
    /// A result that it needs is gone.
    InputGone,
    /// The target had no room for its result.
    NoRoom,
    /// The target failed.
    Failed,
    /// Another entry gathers for the pool now; the order was not begun.
    Moved,
}
