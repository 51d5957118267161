use {
    crate::dialect::{CallerHead, HeaderList, WireCall, WireFault},
    piece::{PieceOutcome, PieceWork, StageResult},
    std::{net::SocketAddr, time::Duration},
};

/// One send of a request to a target.
#[derive(Debug, Clone)]
pub struct TargetRequest<'a> {
    /// What the caller sent.
    pub head: &'a CallerHead,
    /// Id of the only target that may run it.
    pub target: &'a str,
    /// Organisation that the caller's key belongs to.
    pub organisation: Option<&'a str>,
    /// Time that is left.
    pub time_left: Duration,
    /// Rank of the request, 0 first; absent if the target need not know it.
    pub priority: Option<u8>,
    /// Results of the stages before; absent if the request has no stages.
    pub inputs: Option<&'a [StageResult]>,
    /// Last event that the caller has, if the stream goes on.
    pub last_event_id: Option<&'a str>,
    /// Target from which it first fetches the parts of the prompt that it does not keep.
    pub fetch_from: Option<SocketAddr>,
}

/// What a reply's head says of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyOutcome {
    /// The target ran the request; the answer may be passed on.
    Ran,
    /// The target says that it did not run the request.
    NotRun,
    /// It did not run the request since results of stages are gone.
    InputsGone,
    /// It did not run the request since it is another target.
    Misdirected,
    /// The reply is not the target's answer to this request.
    Unverified,
}

/// What the head of a reply says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplyHead {
    /// What it says of the run.
    pub outcome: ReplyOutcome,
    /// Time for which the connection may stay idle.
    pub keep_alive: Option<Duration>,
}

/// How targets speak: requests, pieces of stages, and the freeing of results.
pub trait TargetDialect {
    /// The call that runs a request, without its body.
    fn write_request(&self, order: &TargetRequest<'_>) -> WireCall;

    /// Reads the head of a reply to the request with this id.
    fn read_reply(&self, request: &str, status: u16, headers: &HeaderList) -> ReplyHead;

    /// The call that makes pieces.
    fn write_pieces(&self, target: &str, work: &[PieceWork]) -> WireCall;

    /// Reads how the pieces of a call ended.
    ///
    /// # Errors
    ///
    /// Fails if the answer cannot be read or has another number of pieces.
    fn read_pieces(&self, body: &[u8], count: usize) -> Result<Vec<PieceOutcome>, WireFault>;

    /// The call that frees results.
    fn write_free(&self, results: &[String]) -> WireCall;
}
