use {
    crate::{
        origin::OriginFrame,
        permit::{PermitAnswer, PermitFrame},
        place::PlaceFrame,
        stage::{
            JobFrame, PeerInbox, PeerMessage, PeerOutbox,
            answer_waiters::AnswerWaiters,
            frame_io::{read_frames, write_frames},
            shard_state::{InputsReadHook, JobOutcome, JobWaiter},
        },
        target::{PEER_PATIENCE, configure_socket},
    },
    piece::{JobRank, StageJob, StageResult},
    route::{ServicePick, StreamOrigin},
    slog::{Logger, info},
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{net::TcpStream, sync::oneshot},
    wire::FrameSeal,
};

/// Time within which a connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Waiters by the number of their job.
type Waiters = RefCell<HashMap<u64, JobWaiter>>;

/// Connection to an entry that owns shards, over which this entry submits jobs for them.
pub struct OwnerLink {
    host: String,
    outbox: PeerOutbox,
    waiters: Waiters,
    /// Waiters for places at engines.
    place_waiters: AnswerWaiters<Option<ServicePick>>,
    /// Waiters for permits.
    permit_waiters: AnswerWaiters<PermitAnswer>,
    /// Waiters for where a stream began.
    origin_waiters: AnswerWaiters<Option<StreamOrigin>>,
    next_number: Cell<u64>,
    is_closed: Cell<bool>,
}

impl OwnerLink {
    /// Opens a connection in the background; messages are queued until it is established.
    pub fn open(host: &str, address: SocketAddr, seal: FrameSeal, log: &Logger) -> Rc<Self> {
        let (outbox, inbox) = PeerOutbox::open();
        let link = Rc::new(Self {
            host: host.to_string(),
            outbox,
            waiters: Waiters::default(),
            place_waiters: AnswerWaiters::default(),
            permit_waiters: AnswerWaiters::default(),
            origin_waiters: AnswerWaiters::default(),
            next_number: Cell::new(0),
            is_closed: Cell::new(false),
        });
        let (running_link, log) = (RunningLink(Rc::clone(&link)), log.clone());
        actix_rt::spawn(async move {
            let outcome = running_link.0.run(address, seal, inbox, &log).await;
            let reason = outcome
                .err()
                .map_or(String::from("closed"), |error| error.to_string());
            info!(log, "peer link lost"; "peer" => &running_link.0.host, "reason" => reason);
        });
        link
    }

    /// Returns the name of the host at the other end.
    pub fn host(&self) -> &str {
        &self.host
    }

    /// Returns true once the connection has failed or ended.
    pub fn is_closed(&self) -> bool {
        self.is_closed.get()
    }

    /// Queues a message. It is dropped if the connection has ended.
    pub fn send(&self, message: PeerMessage) {
        // A closed link is replaced when a message for its owner has to be sent again.
        let _ = self.outbox.send(message);
    }

    /// Returns the number for a question for a place, and the receiver of its answer.
    pub fn expect_place(&self) -> (u64, oneshot::Receiver<Option<ServicePick>>) {
        self.expect_answer(&self.place_waiters)
    }

    /// Drops the waiter for a place that did not come in time.
    pub fn forget_place(&self, number: u64) {
        self.place_waiters.forget(number);
    }

    /// Returns the number for a question for a permit, and the receiver of its answer.
    pub fn expect_permit(&self) -> (u64, oneshot::Receiver<PermitAnswer>) {
        self.expect_answer(&self.permit_waiters)
    }

    /// Drops the waiter for a permit that did not come in time.
    pub fn forget_permit(&self, number: u64) {
        self.permit_waiters.forget(number);
    }

    /// Returns the number for a question where a stream began, and the receiver of its answer.
    pub fn expect_origin(&self) -> (u64, oneshot::Receiver<Option<StreamOrigin>>) {
        self.expect_answer(&self.origin_waiters)
    }

    /// Drops the waiter for an answer where a stream began.
    pub fn forget_origin(&self, number: u64) {
        self.origin_waiters.forget(number);
    }

    fn expect_answer<Answer>(
        &self,
        waiters: &AnswerWaiters<Answer>,
    ) -> (u64, oneshot::Receiver<Answer>) {
        let number = self.take_number();
        let receiver = waiters.expect(number);
        if self.is_closed() {
            waiters.forget(number);
        }
        (number, receiver)
    }

    fn take_number(&self) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        number
    }

    /// Submits a job for a shard, without its rank if the owner does not read ranks;
    /// `on_inputs_read` is called once its inputs have been fetched.
    pub fn submit(
        self: &Rc<Self>,
        shard: &str,
        job: StageJob,
        rank: Option<JobRank>,
        on_inputs_read: InputsReadHook,
    ) -> RemoteJob {
        let number = self.take_number();
        let (outcome, receiver) = oneshot::channel();
        let waiter = JobWaiter {
            outcome,
            on_inputs_read,
        };
        self.waiters.borrow_mut().insert(number, waiter);
        let shard = shard.to_string();
        self.send(PeerMessage::Job(match rank {
            Some(rank) => JobFrame::SubmitRanked {
                number,
                shard,
                job,
                rank,
            },
            None => JobFrame::Submit { number, shard, job },
        }));
        RemoteJob {
            link: Rc::clone(self),
            number,
            receiver,
            is_done: false,
        }
    }

    async fn run(
        &self,
        address: SocketAddr,
        seal: FrameSeal,
        inbox: PeerInbox,
        log: &Logger,
    ) -> anyhow::Result<()> {
        let connect = TcpStream::connect(address);
        let stream = actix_rt::time::timeout(CONNECT_TIMEOUT, connect).await??;
        configure_socket(&stream, PEER_PATIENCE, log);
        let (reader, writer) = stream.into_split();
        tokio::select! {
            outcome = write_frames(writer, &seal, inbox) => outcome,
            outcome = read_frames(reader, &seal, |message| self.handle_answer(message)) => outcome,
        }
    }

    fn handle_answer(&self, message: PeerMessage) {
        let frame = match message {
            PeerMessage::Job(frame) => frame,
            PeerMessage::Place(PlaceFrame::Placed { number, pick }) => {
                return self.place_waiters.resolve(number, pick);
            }
            PeerMessage::Permit(PermitFrame::Answer { number, answer }) => {
                return self.permit_waiters.resolve(number, answer);
            }
            PeerMessage::Origin(OriginFrame::Found { number, origin }) => {
                return self.origin_waiters.resolve(number, origin);
            }
            PeerMessage::Place(_)
            | PeerMessage::Permit(_)
            | PeerMessage::Feed(_)
            | PeerMessage::Origin(_) => return,
        };
        let (number, outcome) = match frame {
            JobFrame::Made { number, results } => (number, Ok(results)),
            JobFrame::Failed { number, outcome } => (number, Err(outcome)),
            JobFrame::InputsRead { number } => {
                if let Some(waiter) = self.waiters.borrow().get(&number) {
                    (waiter.on_inputs_read)();
                }
                return;
            }
            JobFrame::Submit { .. }
            | JobFrame::SubmitRanked { .. }
            | JobFrame::Cancel { .. }
            | JobFrame::Free { .. } => {
                return;
            }
        };
        if let Some(waiter) = self.waiters.borrow_mut().remove(&number) {
            // The request that waited for the job may have ended in the meantime.
            let _ = waiter.outcome.send(outcome);
        }
    }
}

/// The task of a link. The link is closed and its waiters are told when the task ends.
struct RunningLink(Rc<OwnerLink>);

impl Drop for RunningLink {
    fn drop(&mut self) {
        let link = &self.0;
        link.is_closed.set(true);
        link.waiters.borrow_mut().clear();
        link.place_waiters.clear();
        link.permit_waiters.clear();
        link.origin_waiters.clear();
    }
}

/// A job at another entry; cancelled if it is dropped before it ends.
pub struct RemoteJob {
    link: Rc<OwnerLink>,
    number: u64,
    receiver: oneshot::Receiver<Result<Vec<StageResult>, piece::PieceOutcome>>,
    is_done: bool,
}

impl RemoteJob {
    /// Waits for the outcome of the job; `None` if the connection to the other entry ended first.
    pub async fn wait(&mut self) -> Option<JobOutcome> {
        let outcome = (&mut self.receiver).await.ok();
        self.is_done = true;
        outcome
    }
}

impl Drop for RemoteJob {
    fn drop(&mut self) {
        self.link.waiters.borrow_mut().remove(&self.number);
        if !self.is_done {
            self.link.send(PeerMessage::Job(JobFrame::Cancel {
                number: self.number,
            }));
        }
    }
}
