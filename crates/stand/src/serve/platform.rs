use {
    super::{
        connection_set::ConnectionSet,
        platform_store::{PlatformStore, StoredValue},
        stand_server::{HalfClosePolicy, serve_stand},
        target_core::put_header,
    },
    actix_http::{Method, Request, Response, StatusCode, body::MessageBody},
    bytes::Bytes,
    setup::{HttpReply, ReadyLine, RequestBody, json_reply, read_body, text_reply},
    stand::{PlatformFault, PlatformMode},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, sync::Notify},
};

/// Size limit of a value and of any other body that operators send.
const MAX_VALUE_BYTES: usize = 1024 * 1024;
/// Time in which a body from an operator must arrive.
const VALUE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two checks of a watched value while host lists become visible with a delay.
const LAG_POLL_PAUSE: Duration = Duration::from_millis(10);
/// Header with the revision of a value.
const REVISION_HEADER: &str = "x-revision";

/// Run the platform: the configuration service and the host list.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "platform")]
pub struct PlatformArgs {
    /// address to listen at for readers
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    listen: String,
    /// address to listen at for operators
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    operators: String,
}

#[derive(Default)]
struct Platform {
    store: RefCell<PlatformStore>,
    /// Values that readers get while the service is stale.
    snapshot: RefCell<Option<PlatformStore>>,
    /// Age at which a published host list becomes visible to readers.
    hosts_lag: Cell<Duration>,
    /// Notified whenever a value, the host list or a fault changes.
    changed: Notify,
    /// Number of requests from readers, by kind.
    call_counts: RefCell<BTreeMap<String, u64>>,
    readers: ConnectionSet,
}

/// Runs the platform.
pub async fn run_platform(args: PlatformArgs) -> anyhow::Result<()> {
    let platform = Rc::new(Platform::default());
    let readers = TcpListener::bind(&args.listen).await?;
    let operators = TcpListener::bind(&args.operators).await?;
    ReadyLine::new("camphor-stand", "platform")
        .with_address("service", readers.local_addr()?)
        .with_address("operators", operators.local_addr()?)
        .print()?;
    let connections = platform.readers.clone();
    let reader_platform = Rc::clone(&platform);
    let read = move |request| Rc::clone(&reader_platform).answer_reader(request);
    let operate = move |request| Rc::clone(&platform).answer_operator(request);
    tokio::join!(
        serve_stand(readers, connections, HalfClosePolicy::Cancel, read),
        serve_stand(
            operators,
            ConnectionSet::default(),
            HalfClosePolicy::Answer,
            operate
        ),
    );
    Ok(())
}

impl Platform {
    async fn answer_reader(self: Rc<Self>, request: Request) -> HttpReply {
        if request.method() != Method::GET {
            return text_reply(
                StatusCode::METHOD_NOT_ALLOWED,
                "this interface is read-only",
            );
        }
        let watch_query = WatchQuery::parse(&request);
        self.count_call(request.path(), watch_query.is_some());
        match watch_query {
            Some(query) => self.watch(request.path(), query).await,
            None => value_reply(self.visible_value(request.path())),
        }
    }

    /// Answers with a value once it is newer than the reader's, or with 304 when the reader's wait
    /// is over.
    async fn watch(&self, path: &str, query: WatchQuery) -> HttpReply {
        let end = Instant::now() + query.wait;
        loop {
            let changed = self.changed.notified();
            let value = self.visible_value(path);
            if value.as_ref().is_some_and(|v| v.revision > query.after) {
                return value_reply(value);
            }
            let time_left = end.saturating_duration_since(Instant::now());
            if time_left.is_zero() {
                return Response::new(StatusCode::NOT_MODIFIED);
            }
            let has_lag = !self.hosts_lag.get().is_zero();
            let pause = if has_lag {
                time_left.min(LAG_POLL_PAUSE)
            } else {
                time_left
            };
            let _ = actix_rt::time::timeout(pause, changed).await;
        }
    }

    /// Value at a path as readers see it now.
    fn visible_value(&self, path: &str) -> Option<StoredValue> {
        let snapshot = self.snapshot.borrow();
        let store = self.store.borrow();
        let visible_store = snapshot.as_ref().unwrap_or(&store);
        match path.strip_prefix("/values/") {
            Some(key) => visible_store.value(key),
            None if path == "/hosts" => visible_store.hosts(Instant::now(), self.hosts_lag.get()),
            None => None,
        }
    }

    /// Counts a reader's request.
    fn count_call(&self, path: &str, is_watch: bool) {
        let kind = if path.starts_with("/values/") {
            "values"
        } else {
            "hosts"
        };
        let verb = if is_watch { "watch" } else { "read" };
        let mut call_counts = self.call_counts.borrow_mut();
        *call_counts.entry(format!("{verb}_{kind}")).or_default() += 1;
    }

    async fn answer_operator(self: Rc<Self>, mut request: Request) -> HttpReply {
        let mut body = RequestBody::take(&mut request);
        let Some(body) = read_body(&mut body, MAX_VALUE_BYTES, VALUE_TIMEOUT).await else {
            return text_reply(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is too long, truncated or late",
            );
        };
        match (request.method().clone(), request.path()) {
            (Method::PUT, "/hosts") => self.put_hosts(&body),
            (Method::PUT, path) => match path.strip_prefix("/values/") {
                Some(key) => self.put_value(key, &body),
                None => text_reply(StatusCode::NOT_FOUND, "no such path"),
            },
            (Method::POST, "/fault") => self.set_fault(&body),
            (Method::GET, "/calls") => json_reply(StatusCode::OK, &*self.call_counts.borrow()),
            _ => text_reply(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn put_value(&self, key: &str, body: &Bytes) -> HttpReply {
        let Ok(text) = std::str::from_utf8(body) else {
            return text_reply(StatusCode::BAD_REQUEST, "the value is not UTF-8 text");
        };
        let revision = self.store.borrow_mut().put_value(key, text);
        self.changed.notify_waiters();
        json_reply(StatusCode::OK, &revision)
    }

    fn put_hosts(&self, body: &Bytes) -> HttpReply {
        let list = match serde_json::from_slice(body) {
            Ok(list) => list,
            Err(error) => return text_reply(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let revision = self.store.borrow_mut().put_hosts(list, Instant::now());
        self.changed.notify_waiters();
        json_reply(StatusCode::OK, &revision)
    }

    fn set_fault(&self, body: &Bytes) -> HttpReply {
        let fault: PlatformFault = match serde_json::from_slice(body) {
            Ok(fault) => fault,
            Err(error) => return text_reply(StatusCode::BAD_REQUEST, error.to_string()),
        };
        if let Some(mode) = fault.mode {
            self.readers.set_refusing(mode == PlatformMode::Down);
            let is_stale = mode == PlatformMode::Stale;
            let snapshot = is_stale.then(|| self.store.borrow().clone());
            *self.snapshot.borrow_mut() = snapshot;
        }
        if let Some(lag) = fault.hosts_lag_ms {
            self.hosts_lag.set(Duration::from_millis(lag));
        }
        self.changed.notify_waiters();
        json_reply(StatusCode::OK, &fault)
    }
}

/// Query of a reader that waits for a newer value: `after={revision}&wait_ms={wait}`.
struct WatchQuery {
    /// Revision that the reader has.
    after: u64,
    /// Longest wait.
    wait: Duration,
}

impl WatchQuery {
    /// Reads the query of a request; `None` if it asks for no wait.
    fn parse(request: &Request) -> Option<Self> {
        let query = request.uri().query()?;
        let number = |key: &str| {
            let pair = query.split('&').find_map(|pair| pair.strip_prefix(key));
            pair.and_then(|text| text.parse().ok())
        };
        Some(Self {
            after: number("after=")?,
            wait: Duration::from_millis(number("wait_ms=").unwrap_or(0)),
        })
    }
}

fn value_reply(value: Option<StoredValue>) -> HttpReply {
    let Some(value) = value else {
        return text_reply(StatusCode::NOT_FOUND, "no such value");
    };
    let mut reply = Response::with_body(StatusCode::OK, value.text.boxed());
    put_header(&mut reply, REVISION_HEADER, value.revision.to_string());
    reply
}
