use {
    super::{
        connection_set::ConnectionSet,
        platform_store::{PlatformStore, StoredValue},
        stand_server::{CallerEnd, serve_stand},
        target_core::put_header,
    },
    actix_http::{Method, Request, Response, StatusCode, body::MessageBody},
    bytes::Bytes,
    setup::{HttpReply, ReadyLine, json_reply, read_body, text_reply},
    stand::{PlatformFault, PlatformMode},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, sync::Notify},
};

/// Longest value that the service holds, in bytes.
const VALUE_LIMIT: usize = 1024 * 1024;
/// Time in which a value must arrive.
const VALUE_TIME: Duration = Duration::from_secs(10);
/// Time between two looks at a host list that lags behind.
const LAG_STEP: Duration = Duration::from_millis(10);
/// Header with the revision of a value.
const REVISION_HEADER: &str = "x-revision";

/// The platform: configuration service and host list.
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
    /// What readers see while the service is stale.
    snapshot: RefCell<Option<PlatformStore>>,
    lag: Cell<Duration>,
    changed: Notify,
    calls: RefCell<BTreeMap<String, u64>>,
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
    let for_readers = Rc::clone(&platform);
    let read = move |request| Rc::clone(&for_readers).answer_reader(request);
    let operate = move |request| Rc::clone(&platform).answer_operator(request);
    tokio::join!(
        serve_stand(readers, connections, CallerEnd::Cancels, read),
        serve_stand(
            operators,
            ConnectionSet::default(),
            CallerEnd::Answers,
            operate
        ),
    );
    Ok(())
}

impl Platform {
    async fn answer_reader(self: Rc<Self>, request: Request) -> HttpReply {
        if request.method() != Method::GET {
            return text_reply(StatusCode::METHOD_NOT_ALLOWED, "this service is only read");
        }
        let watched = WatchQuery::of(&request);
        self.count(request.path(), watched.is_some());
        match watched {
            Some(query) => self.watch(request.path(), query).await,
            None => value_reply(self.look(request.path())),
        }
    }

    /// Waits until a value is newer than the reader's.
    async fn watch(&self, path: &str, query: WatchQuery) -> HttpReply {
        let end = Instant::now() + query.wait;
        loop {
            let changed = self.changed.notified();
            let value = self.look(path);
            if value.as_ref().is_some_and(|v| v.revision > query.after) {
                return value_reply(value);
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Response::new(StatusCode::NOT_MODIFIED);
            }
            let lagging = !self.lag.get().is_zero();
            let pause = if lagging { left.min(LAG_STEP) } else { left };
            let _ = actix_rt::time::timeout(pause, changed).await;
        }
    }

    fn look(&self, path: &str) -> Option<StoredValue> {
        let snapshot = self.snapshot.borrow();
        let store = self.store.borrow();
        let seen = snapshot.as_ref().unwrap_or(&store);
        match path.strip_prefix("/values/") {
            Some(key) => seen.value(key),
            None if path == "/hosts" => seen.hosts(Instant::now(), self.lag.get()),
            None => None,
        }
    }

    fn count(&self, path: &str, watch: bool) {
        let kind = if path.starts_with("/values/") {
            "values"
        } else {
            "hosts"
        };
        let verb = if watch { "watch" } else { "read" };
        let mut calls = self.calls.borrow_mut();
        *calls.entry(format!("{verb}_{kind}")).or_default() += 1;
    }

    async fn answer_operator(self: Rc<Self>, mut request: Request) -> HttpReply {
        let payload = request.take_payload();
        let Some(body) = read_body(payload, VALUE_LIMIT, VALUE_TIME).await else {
            return text_reply(StatusCode::PAYLOAD_TOO_LARGE, "value too long, cut or late");
        };
        match (request.method().clone(), request.path()) {
            (Method::PUT, "/hosts") => self.put_hosts(&body),
            (Method::PUT, path) => match path.strip_prefix("/values/") {
                Some(key) => self.put_value(key, &body),
                None => text_reply(StatusCode::NOT_FOUND, "no such path"),
            },
            (Method::POST, "/fault") => self.set_fault(&body),
            (Method::GET, "/calls") => json_reply(StatusCode::OK, &*self.calls.borrow()),
            _ => text_reply(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn put_value(&self, key: &str, body: &Bytes) -> HttpReply {
        let Ok(text) = std::str::from_utf8(body) else {
            return text_reply(StatusCode::BAD_REQUEST, "a value is text");
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
            self.readers.refuse(mode == PlatformMode::Down);
            let stale = mode == PlatformMode::Stale;
            let snapshot = stale.then(|| self.store.borrow().clone());
            *self.snapshot.borrow_mut() = snapshot;
        }
        if let Some(lag) = fault.hosts_lag_ms {
            self.lag.set(Duration::from_millis(lag));
        }
        self.changed.notify_waiters();
        json_reply(StatusCode::OK, &fault)
    }
}

/// A reader's wish to wait for a value newer than its own.
struct WatchQuery {
    after: u64,
    wait: Duration,
}

impl WatchQuery {
    fn of(request: &Request) -> Option<Self> {
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
