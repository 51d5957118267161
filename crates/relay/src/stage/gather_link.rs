use {
    crate::{
        stage::{
            GatherFrame,
            frame_io::{read_frames, write_frames},
            open_desk::{GatherEnd, OrderWaiter, ReadHook},
        },
        target::watch_silence,
    },
    piece::{StageJob, StageResult},
    slog::{Logger, info},
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        sync::{mpsc, oneshot},
    },
    wire::FrameSeal,
};

/// Time in which a connection must be made.
const DIAL_TIME: Duration = Duration::from_millis(500);

type Waiting = RefCell<HashMap<u64, OrderWaiter>>;

/// Connection to an entry that gathers.
pub struct GatherLink {
    host: String,
    outbox: mpsc::UnboundedSender<GatherFrame>,
    waiting: Waiting,
    next_number: Cell<u64>,
    closed: Cell<bool>,
}

impl GatherLink {
    /// Opens a connection; orders may be given at once.
    pub fn open(host: &str, address: SocketAddr, seal: FrameSeal, log: &Logger) -> Rc<Self> {
        let (outbox, inbox) = mpsc::unbounded_channel();
        let link = Rc::new(Self {
            host: host.to_string(),
            outbox,
            waiting: Waiting::default(),
            next_number: Cell::new(0),
            closed: Cell::new(false),
        });
        let (task, log) = (Rc::clone(&link), log.clone());
        actix_rt::spawn(async move {
            let end = task.run(address, seal, inbox, &log).await;
            task.closed.set(true);
            task.waiting.borrow_mut().clear();
            let reason = end
                .err()
                .map_or(String::from("closed"), |error| error.to_string());
            info!(log, "peer link lost"; "peer" => &task.host, "reason" => reason);
        });
        link
    }

    /// Host at the other end.
    pub fn host(&self) -> &str {
        &self.host
    }

    /// True once the connection is of no use any more.
    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Sends a message that needs no answer.
    pub fn send(&self, frame: GatherFrame) {
        // A closed link is replaced by the next one that needs it.
        let _ = self.outbox.send(frame);
    }

    /// Gives an order.
    pub fn ask(self: &Rc<Self>, pool: &str, order: StageJob, on_read: ReadHook) -> AskedOrder {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let (end, receiver) = oneshot::channel();
        let waiter = OrderWaiter { end, on_read };
        self.waiting.borrow_mut().insert(number, waiter);
        self.send(GatherFrame::Order {
            number,
            pool: pool.to_string(),
            order,
        });
        AskedOrder {
            link: Rc::clone(self),
            number,
            receiver,
            done: false,
        }
    }

    async fn run(
        &self,
        address: SocketAddr,
        seal: FrameSeal,
        inbox: mpsc::UnboundedReceiver<GatherFrame>,
        log: &Logger,
    ) -> anyhow::Result<()> {
        let dial = TcpStream::connect(address);
        let stream = actix_rt::time::timeout(DIAL_TIME, dial).await??;
        watch_silence(&stream, log);
        let (reader, writer) = stream.into_split();
        tokio::select! {
            end = write_frames(writer, &seal, inbox) => end,
            end = read_frames(reader, &seal, |frame| self.take_answer(frame)) => end,
        }
    }

    fn take_answer(&self, frame: GatherFrame) {
        let (number, end) = match frame {
            GatherFrame::Made { number, results } => (number, Ok(results)),
            GatherFrame::Failed { number, end } => (number, Err(end)),
            GatherFrame::InputsRead { number } => {
                if let Some(waiter) = self.waiting.borrow().get(&number) {
                    (waiter.on_read)();
                }
                return;
            }
            GatherFrame::Order { .. } | GatherFrame::Cancel { .. } | GatherFrame::Free { .. } => {
                return;
            }
        };
        if let Some(waiter) = self.waiting.borrow_mut().remove(&number) {
            // The request may have ended in the meantime.
            let _ = waiter.end.send(end);
        }
    }
}

/// An order at another entry; taken back when dropped before its end.
pub struct AskedOrder {
    link: Rc<GatherLink>,
    number: u64,
    receiver: oneshot::Receiver<Result<Vec<StageResult>, piece::PieceOutcome>>,
    done: bool,
}

impl AskedOrder {
    /// Its end, or none if the other entry was lost.
    pub async fn wait(&mut self) -> Option<GatherEnd> {
        let end = (&mut self.receiver).await.ok();
        self.done = true;
        end
    }
}

impl Drop for AskedOrder {
    fn drop(&mut self) {
        self.link.waiting.borrow_mut().remove(&self.number);
        if !self.done {
            self.link.send(GatherFrame::Cancel {
                number: self.number,
            });
        }
    }
}
