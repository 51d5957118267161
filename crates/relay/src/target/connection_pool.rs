use {
    crate::{
        dialect::{HeaderList, WireCall},
        target::{CallFault, CallReply, configure_socket},
    },
    actix_rt::task::JoinHandle,
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Request, Response,
        body::Incoming,
        client::conn::http1::{self, SendRequest},
        header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderMap},
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

/// Time in which a connection must be made.
const DIAL_TIME: Duration = Duration::from_millis(600);
/// Idle time of a connection whose other side names none.
const UNNAMED_IDLE: Duration = Duration::from_millis(900);
/// Part of the named idle time that is used, so that the other side does not close first.
const IDLE_SHARE: f64 = 0.7;
/// Time in which a connection is ready again after an answer.
const READY_TIME: Duration = Duration::from_millis(200);
/// Idle connections to one target.
const IDLE_LINKS: usize = 64;
/// Headers that concern only one connection.
const HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// One connection in use; closed when dropped.
pub struct PooledConnection {
    sender: Option<SendRequest<Full<Bytes>>>,
    task: Option<JoinHandle<()>>,
    address: SocketAddr,
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }
}

struct IdleConnection {
    guard: PooledConnection,
    until: Instant,
}

/// Connections to targets and to the store, kept between calls.
pub struct ConnectionPool {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    dial_count: Cell<u64>,
    log: Logger,
}

impl ConnectionPool {
    /// Pool without connections.
    pub fn new(log: Logger) -> Rc<Self> {
        Rc::new(Self {
            idle: RefCell::default(),
            dial_count: Cell::new(0),
            log,
        })
    }

    /// Connections made so far.
    pub fn dial_count(&self) -> u64 {
        self.dial_count.get()
    }

    /// Makes a call and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Says whether anything may have been sent.
    pub async fn call(
        self: &Rc<Self>,
        address: SocketAddr,
        call: WireCall,
    ) -> Result<CallReply, CallFault> {
        let mut request = write_request(address, call)?;
        while let Some(guard) = self.take_idle(address) {
            match self.send(guard, request).await {
                Ok(reply) => return Ok(reply),
                Err(SendEnd::Unsent(unsent)) => request = *unsent,
                Err(SendEnd::Fault(fault)) => return Err(fault),
            }
        }
        let guard = self.dial(address).await?;
        self.send(guard, request).await.map_err(|end| match end {
            SendEnd::Unsent(_) => CallFault::NotSent(String::from("connection closed at once")),
            SendEnd::Fault(fault) => fault,
        })
    }

    /// Makes a call and reads its whole answer, within a time.
    ///
    /// # Errors
    ///
    /// As `call`, or if the answer is cut, late or longer than the limit.
    pub async fn exchange(
        self: &Rc<Self>,
        address: SocketAddr,
        call: WireCall,
        time: Duration,
        limit: usize,
    ) -> Result<(u16, HeaderList, Bytes), CallFault> {
        let exchange = async {
            let mut reply = self.call(address, call).await?;
            let idle = keep_alive(&reply.headers);
            reply.set_idle_timeout(idle);
            let body = reply.read_body(limit).await?;
            Ok((reply.status, std::mem::take(&mut reply.headers), body))
        };
        let ended = actix_rt::time::timeout(time, exchange).await;
        ended.unwrap_or(Err(CallFault::TimedOut))
    }

    /// Keeps a connection whose answer was read to its end.
    pub(super) fn return_to_pool(self: &Rc<Self>, guard: PooledConnection, idle: Option<Duration>) {
        let pool = Rc::clone(self);
        let until = Instant::now() + idle.map_or(UNNAMED_IDLE, |idle| idle.mul_f64(IDLE_SHARE));
        actix_rt::spawn(async move {
            let mut guard = guard;
            let Some(sender) = &mut guard.sender else {
                return;
            };
            let ready = actix_rt::time::timeout(READY_TIME, sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                let mut idle = pool.idle.borrow_mut();
                let links = idle.entry(guard.address).or_default();
                if links.len() < IDLE_LINKS {
                    links.push(IdleConnection { guard, until });
                }
            }
        });
    }

    /// Drops connections that were idle for too long.
    pub fn sweep(&self, now: Instant) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, links| {
            links.retain(|link| link.until > now && is_open(&link.guard));
            !links.is_empty()
        });
    }

    fn take_idle(&self, address: SocketAddr) -> Option<PooledConnection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&address)?;
        while let Some(link) = links.pop() {
            if link.until > now && is_open(&link.guard) {
                return Some(link.guard);
            }
        }
        None
    }

    async fn dial(&self, address: SocketAddr) -> Result<PooledConnection, CallFault> {
        self.dial_count.set(self.dial_count.get() + 1);
        let dial = actix_rt::time::timeout(DIAL_TIME, TcpStream::connect(address)).await;
        let stream = match dial {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(CallFault::NotSent(error.to_string())),
            Err(_) => return Err(CallFault::NotSent(String::from("dial timed out"))),
        };
        configure_socket(&stream, &self.log);
        let made = http1::Builder::new().handshake(TokioIo::new(stream)).await;
        let (sender, link) = made.map_err(|error| CallFault::NotSent(error.to_string()))?;
        let log = self.log.clone();
        let task = actix_rt::spawn(async move {
            if let Err(error) = link.await {
                debug!(log, "connection ended"; "address" => %address, "error" => %error);
            }
        });
        Ok(PooledConnection {
            sender: Some(sender),
            task: Some(task),
            address,
        })
    }

    async fn send(
        self: &Rc<Self>,
        mut guard: PooledConnection,
        request: Request<Full<Bytes>>,
    ) -> Result<CallReply, SendEnd> {
        let Some(sender) = &mut guard.sender else {
            return Err(SendEnd::Unsent(Box::new(request)));
        };
        match sender.try_send_request(request).await {
            Ok(response) => Ok(self.reply(response, guard)),
            Err(mut error) => match error.take_message() {
                Some(unsent) => Err(SendEnd::Unsent(Box::new(unsent))),
                None => {
                    let text = error.into_error().to_string();
                    Err(SendEnd::Fault(CallFault::Broken(text)))
                }
            },
        }
    }

    fn reply(self: &Rc<Self>, response: Response<Incoming>, guard: PooledConnection) -> CallReply {
        let (head, body) = response.into_parts();
        let headers = read_headers(&head.headers);
        CallReply::new(head.status.as_u16(), headers, body, guard, Rc::clone(self))
    }
}

enum SendEnd {
    Unsent(Box<Request<Full<Bytes>>>),
    Fault(CallFault),
}

fn is_open(guard: &PooledConnection) -> bool {
    let sender = guard.sender.as_ref();
    sender.is_some_and(|sender| sender.is_ready() && !sender.is_closed())
}

fn write_request(address: SocketAddr, call: WireCall) -> Result<Request<Full<Bytes>>, CallFault> {
    let mut builder = Request::builder()
        .method(call.method.as_str())
        .uri(call.path.as_str());
    let mut has_host = false;
    for (name, value) in &call.headers {
        has_host |= name == HOST.as_str();
        if !is_hop_header(name) && name != CONTENT_LENGTH.as_str() {
            builder = builder.header(name.as_str(), value.as_slice());
        }
    }
    if !has_host {
        builder = builder.header(HOST, address.to_string());
    }
    let built = builder.body(Full::new(call.body));
    built.map_err(|error| CallFault::NotSent(error.to_string()))
}

/// Headers without those that concern only this connection; `keep-alive` stays for the pool.
fn read_headers(headers: &HeaderMap) -> HeaderList {
    let named = headers.get_all(CONNECTION).iter();
    let named: Vec<String> = named
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let kept = headers.iter().filter(|(name, _)| {
        let name = name.as_str();
        name == "keep-alive" || (!is_hop_header(name) && !named.iter().any(|hop| hop == name))
    });
    kept.map(|(name, value)| (name.as_str().to_string(), value.as_bytes().to_vec()))
        .collect()
}

/// True for headers that concern only one connection.
pub fn is_hop_header(name: &str) -> bool {
    HOP_HEADERS.contains(&name)
}

/// Idle time that the other side names.
pub fn keep_alive(headers: &HeaderList) -> Option<Duration> {
    let value = crate::dialect::header_value(headers, "keep-alive")?;
    let words = value.split(',');
    let mut seconds = words.filter_map(|word| word.trim().strip_prefix("timeout="));
    seconds.next()?.trim().parse().ok().map(Duration::from_secs)
}
