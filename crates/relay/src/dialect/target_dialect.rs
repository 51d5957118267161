use {
    crate::dialect::{CallerHead, HeaderList, ReplyOwner, WireCall, WireFault},
    limit::TargetWord,
    piece::{PieceOutcome, PieceWork, StageResult},
    route::TargetNotice,
    std::{net::SocketAddr, time::Duration},
};

/// A caller's request as it is sent to one target.
#[derive(Debug, Clone)]
pub struct TargetRequest<'a> {
    /// Head of the caller's request.
    pub head: &'a CallerHead,
    /// Id of the target; a different target that gets the request must not run it.
    pub target: &'a str,
    /// Organisation that the caller's key belongs to; `None` if the request needed no key.
    pub organisation: Option<&'a str>,
    /// Time until the request's deadline.
    pub time_left: Duration,
    /// Priority of the request, 0 being the highest; `None` if the target does not need it.
    pub priority: Option<u8>,
    /// Results of the request's stages; `None` if it has no stages.
    pub inputs: Option<&'a [StageResult]>,
    /// Id of the last event that was passed on, if this send resumes a stream.
    pub last_event_id: Option<&'a str>,
    /// Address of another target that has cached more of the prompt, from which the target fetches
    /// the part of the cache that it lacks; `None` if it should fetch nothing.
    pub fetch_from: Option<SocketAddr>,
}

/// Whether the target ran the request, as the head of its reply tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyOutcome {
    /// The target ran the request, so that the reply may be passed on.
    Ran,
    /// The target states that it did not run the request.
    NotRun,
    /// The target did not run the request because results of stages no longer exist.
    InputsGone,
    /// The request reached a different target, which did not run it.
    Misdirected,
    /// Nothing shows that the reply is the target's own answer to this request.
    Unverified,
}

/// Head of a target's reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplyHead {
    /// Which request the reply answers.
    pub owner: ReplyOwner,
    /// Whether the target ran the request that the reply answers.
    pub outcome: ReplyOutcome,
    /// Time for which the target keeps the idle connection open, if it says so.
    pub keep_alive: Option<Duration>,
    /// What the target says of itself.
    pub notice: TargetNotice,
    /// What the target says of the calls that it takes.
    pub word: TargetWord,
}

impl ReplyHead {
    /// Returns what the reply shows of the request that waits for it. The answer to another request
    /// shows nothing of it, and an answer that is passed on must have its id.
    pub fn proven_outcome(&self, is_on_new_connection: bool) -> ReplyOutcome {
        let is_proven = match self.outcome {
            ReplyOutcome::Ran => self.owner == ReplyOwner::ThisCall,
            _ => self.owner.is_this_call(is_on_new_connection),
        };
        match is_proven {
            true => self.outcome,
            false => ReplyOutcome::Unverified,
        }
    }
}

/// Translates between the HTTP messages of targets and the types of this crate: requests, pieces of
/// stages, and the release of results.
pub trait TargetDialect {
    /// Returns the call that runs a request; its body is left empty.
    fn write_request(&self, request: &TargetRequest<'_>) -> WireCall;

    /// Returns a call that any target answers at once, whether it has room or not.
    fn write_check(&self) -> WireCall;

    /// Parses the start time of a target's process, in milliseconds since the Unix epoch, from the
    /// body of the answer to a check; `None` if the answer does not state it.
    ///
    /// # Errors
    ///
    /// Fails if the body is malformed.
    fn read_start(&self, body: &[u8]) -> Result<Option<u64>, WireFault>;

    /// Returns which call a reply answers; `call_id` is the id of the call that waits for it.
    fn read_owner(&self, call_id: &str, headers: &HeaderList) -> ReplyOwner;

    /// Parses the head of a reply to the request with this id.
    fn read_reply(&self, request_id: &str, status: u16, headers: &HeaderList) -> ReplyHead;

    /// Parses what a target says of itself in the head of any reply.
    fn read_notice(&self, status: u16, headers: &HeaderList) -> TargetNotice;

    /// Parses what a target says of the calls that it takes in the head of any reply.
    fn read_word(&self, headers: &HeaderList) -> TargetWord;

    /// Parses how long work takes on the target's machine at this moment, in percent of the usual
    /// time, from the head of any reply; `None` if it says nothing that is a number.
    fn read_pace(&self, headers: &HeaderList) -> Option<f64>;

    /// Returns the call that makes pieces of stages, under an id of its own.
    fn write_pieces(&self, call_id: &str, target: &str, work: &[PieceWork]) -> WireCall;

    /// Parses the outcomes of the pieces of a call, in the order of the pieces in the call.
    ///
    /// # Errors
    ///
    /// Fails if the body is malformed or has not exactly `count` pieces.
    fn read_pieces(&self, body: &[u8], count: usize) -> Result<Vec<PieceOutcome>, WireFault>;

    /// Returns the call that frees results of a target by their names, under an id of its own. Another target that
    /// gets it must not run it.
    fn write_free(&self, call_id: &str, target: &str, results: &[String]) -> WireCall;
}
