use {
    crate::{
        dialect::WireCall,
        memory::BodyReader,
        target::{
            CallFault, CallReply, WholeReply,
            answer_marks::AnswerMarks,
            call_message::{SendFailure, build_request, is_final_status},
            configure_socket,
            hop_headers::{end_to_end_headers, keep_alive_timeout},
            pooled_connection::{IdleConnection, PooledConnection},
            target_stream::TargetStream,
        },
    },
    hyper::{
        Request, Response,
        body::{Body, Incoming},
        client::conn::http1,
        header::{CONTENT_LENGTH, TRANSFER_ENCODING},
    },
    hyper_util::rt::TokioIo,
    slog::{Logger, debug},
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::net::TcpStream,
};

/// Time-out for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for which an idle connection is kept if the other side does not say how long it keeps it.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest time for which an idle connection is kept, whatever the other side says.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Share of the other side's idle time-out after which a connection is no longer used, so that the
/// other side does not close it first.
const IDLE_TIMEOUT_SHARE: f64 = 0.7;
/// Time-out for a connection to become ready for another call after an answer.
const READY_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of idle connections to one address.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Connections to targets and to the store, which are reused by later calls.
pub struct ConnectionPool {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    dial_count: Cell<u64>,
    patience: Duration,
    has_short_windows: bool,
    log: Logger,
}

impl ConnectionPool {
    /// Creates an empty pool, whose connections wait for the time `patience` for an acknowledgement.
    pub fn new(patience: Duration, log: Logger) -> Rc<Self> {
        Self::create(patience, false, log)
    }

    /// Creates an empty pool like `new`. The kernel keeps little of what arrives on its connections, except
    /// while a long answer is read whole.
    pub fn with_short_windows(patience: Duration, log: Logger) -> Rc<Self> {
        Self::create(patience, true, log)
    }

    fn create(patience: Duration, has_short_windows: bool, log: Logger) -> Rc<Self> {
        Rc::new(Self {
            patience,
            has_short_windows,
            idle: RefCell::default(),
            dial_count: Cell::new(0),
            log,
        })
    }

    /// Returns the number of attempts to open a connection, failed ones included.
    pub fn dial_count(&self) -> u64 {
        self.dial_count.get()
    }

    /// Sends a call and waits for the head of its answer. An idle connection that turns out to be
    /// closed before anything was sent on it is replaced by the next one or a new one.
    ///
    /// # Errors
    ///
    /// The error tells whether anything may have been sent.
    pub async fn call(
        self: &Rc<Self>,
        address: SocketAddr,
        call: WireCall,
    ) -> Result<CallReply, CallFault> {
        self.call_and_note(address, call, || {}).await
    }

    /// Sends a call as [`Self::call`] does; `on_opened` is called if a new connection was opened for
    /// it.
    ///
    /// # Errors
    ///
    /// The error tells whether anything may have been sent.
    pub async fn call_and_note(
        self: &Rc<Self>,
        address: SocketAddr,
        call: WireCall,
        on_opened: impl FnOnce(),
    ) -> Result<CallReply, CallFault> {
        let mut request = build_request(address, call)?;
        while let Some(connection) = self.take_idle(address) {
            match self.send(connection, request).await {
                Ok(reply) => return Ok(reply),
                Err(SendFailure::Unsent(unsent)) => request = *unsent,
                Err(SendFailure::Fault(fault)) => return Err(fault),
            }
        }
        let connection = self.connect(address).await?;
        on_opened();
        self.send(connection, request)
            .await
            .map_err(|failure| match failure {
                SendFailure::Unsent(_) => CallFault::NotSent(String::from(
                    "new connection closed before the request was sent",
                )),
                SendFailure::Fault(fault) => fault,
            })
    }

    /// Sends a call and reads its answer to the end.
    ///
    /// # Errors
    ///
    /// Fails like `call`, and if the answer is truncated, not whole within `time_limit`, or longer
    /// than `byte_limit`.
    pub async fn call_and_read(
        self: &Rc<Self>,
        address: SocketAddr,
        call: WireCall,
        time_limit: Duration,
        byte_limit: usize,
    ) -> Result<WholeReply, CallFault> {
        let has_begun = Cell::new(false);
        let exchange = async {
            let mut reply = self.call(address, call).await?;
            has_begun.set(true);
            let idle_timeout = keep_alive_timeout(&reply.headers);
            reply.set_idle_timeout(idle_timeout);
            reply.read_whole(byte_limit).await
        };
        let result = actix_rt::time::timeout(time_limit, exchange).await;
        result.unwrap_or(Err(match has_begun.get() {
            true => CallFault::TooLong,
            false => CallFault::TimedOut,
        }))
    }

    /// Keeps a connection for later calls; its last answer was read to its end.
    pub(super) fn return_to_pool(
        self: &Rc<Self>,
        connection: PooledConnection,
        idle_timeout: Option<Duration>,
    ) {
        if let Some(window) = &connection.window {
            window.shorten();
        }
        let pool = Rc::clone(self);
        let expires_at = Instant::now()
            + idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |timeout| {
                timeout.min(MAX_IDLE_TIMEOUT).mul_f64(IDLE_TIMEOUT_SHARE)
            });
        actix_rt::spawn(async move {
            let mut connection = connection;
            connection.is_new = false;
            let Some(sender) = &mut connection.sender else {
                return;
            };
            let ready = actix_rt::time::timeout(READY_TIMEOUT, sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                let mut idle = pool.idle.borrow_mut();
                let connections = idle.entry(connection.address).or_default();
                if connections.len() < MAX_IDLE_CONNECTIONS {
                    connections.push(IdleConnection {
                        connection,
                        expires_at,
                    });
                }
            }
        });
    }

    /// Removes idle connections that have expired or that the other side has closed.
    pub fn close_expired(&self, now: Instant) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, connections| {
            connections.retain(|idle| idle.expires_at > now && idle.connection.is_open());
            !connections.is_empty()
        });
    }

    fn take_idle(&self, address: SocketAddr) -> Option<PooledConnection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(candidate) = connections.pop() {
            if candidate.expires_at > now && candidate.connection.is_open() {
                return Some(candidate.connection);
            }
        }
        None
    }

    async fn connect(&self, address: SocketAddr) -> Result<PooledConnection, CallFault> {
        self.dial_count.set(self.dial_count.get() + 1);
        let connected = actix_rt::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = match connected {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(CallFault::NotSent(error.to_string())),
            Err(_) => return Err(CallFault::NotSent(String::from("connecting timed out"))),
        };
        self.open(stream, address).await
    }

    pub(super) async fn open(
        &self,
        stream: TcpStream,
        address: SocketAddr,
    ) -> Result<PooledConnection, CallFault> {
        configure_socket(&stream, self.patience, &self.log);
        let stream = match self.has_short_windows {
            true => TargetStream::with_short_window(stream),
            false => TargetStream::new(stream),
        };
        let window = stream.window().cloned();
        let progress = stream.progress().clone();
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, driver) = handshake.map_err(|error| CallFault::NotSent(error.to_string()))?;
        let log = self.log.clone();
        let task = actix_rt::spawn(async move {
            if let Err(error) = driver.await {
                debug!(log, "connection ended"; "address" => %address, "error" => %error);
            }
        });
        Ok(PooledConnection {
            sender: Some(sender),
            task: Some(task),
            address,
            opened_at: Instant::now(),
            is_new: true,
            window,
            progress,
            marks: AnswerMarks::default(),
        })
    }

    pub(super) async fn send(
        self: &Rc<Self>,
        mut connection: PooledConnection,
        mut request: Request<BodyReader>,
    ) -> Result<CallReply, SendFailure> {
        request.body_mut().begin(&connection.progress);
        let Some(sender) = &mut connection.sender else {
            return Err(SendFailure::Unsent(Box::new(request)));
        };
        match sender.try_send_request(request).await {
            Ok(response) if !is_final_status(response.status()) => {
                let text = format!("status {} is none of an answer", response.status().as_u16());
                Err(SendFailure::Fault(CallFault::Broken(text)))
            }
            Ok(response) => Ok(self.create_reply(response, connection)),
            Err(mut error) => match error.take_message() {
                Some(unsent) => Err(SendFailure::Unsent(Box::new(unsent))),
                None => {
                    let text = error.into_error().to_string();
                    Err(SendFailure::Fault(CallFault::Broken(text)))
                }
            },
        }
    }

    fn create_reply(
        self: &Rc<Self>,
        response: Response<Incoming>,
        connection: PooledConnection,
    ) -> CallReply {
        let (head, body) = response.into_parts();
        let headers = end_to_end_headers(&head.headers);
        let is_framed = head.headers.contains_key(CONTENT_LENGTH)
            || head.headers.contains_key(TRANSFER_ENCODING)
            || body.is_end_stream();
        CallReply::new(
            head.status.as_u16(),
            headers,
            !is_framed,
            body,
            connection,
            Rc::clone(self),
        )
    }
}
