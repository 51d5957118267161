use {
    crate::{
        EntrySettings,
        control::{ControlParts, run_control},
        data::{EntryCore, caller_server::answer_caller, entry_core::CoreParts},
        filters::FilterChain,
        shared::{ControlMessage, EntryPhase, EventRecorder, FleetView, wall_us},
    },
    actix_rt::Arbiter,
    setup::{HttpLimits, LogOutput, MetricRegistry, ReadyLine, StartError, open_log, serve_http},
    slog::info,
    stamp::EventKind,
    std::{
        future::Future,
        io,
        net::{SocketAddr, TcpListener, UdpSocket},
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        signal::unix::{SignalKind, signal},
        sync::{mpsc, watch},
    },
};

/// Program name in logs and on the ready line.
const PROGRAM: &str = "camphor-entry";
/// Interval at which a shutdown checks for running requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which the queues are checked for calls that can no longer finish.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Number of attempts to bind the same port over TCP and UDP if the kernel chooses it.
const MAX_PORT_ATTEMPTS: usize = 32;

/// Runs an entry daemon until it is told to shut down.
///
/// # Errors
///
/// Fails if an address can't be bound, or if requests were cut at the end.
pub async fn run_entry(settings: EntrySettings) -> anyhow::Result<()> {
    let (log, _guard) = open_log(
        settings.log.level,
        PROGRAM,
        &settings.host,
        LogOutput::Stderr,
    );
    let caller_listener = bind_tcp("listen.callers", settings.listen.callers)?;
    let operators = bind_tcp("listen.operators", settings.listen.operators)?;
    let (peer_frames, peer_datagrams) = bind_peers(settings.listen.peers)?;
    let caller_address = caller_listener.local_addr()?;
    let ready = ReadyLine::new(PROGRAM, &settings.host)
        .with_address("callers", caller_address)
        .with_address("peers", peer_datagrams.local_addr()?)
        .with_address("operators", operators.local_addr()?);
    let (published, view) = watch::channel(Arc::new(FleetView::default()));
    let (messages, message_inbox) = mpsc::unbounded_channel();
    let metrics = MetricRegistry::open(settings.metrics.statsd)?;
    let recorder = EventRecorder::new(&settings.host);
    let incarnation = wall_us();
    recorder.record(EventKind::ProcessStarted, |event| event);
    let (closing, _) = watch::channel(false);
    let control = ControlParts {
        callers: caller_address.to_string(),
        settings: settings.clone(),
        incarnation,
        metrics: metrics.clone(),
        recorder: recorder.clone(),
        log: log.clone(),
        published,
        messages: message_inbox,
        operators,
        peer_frames,
        peer_datagrams,
        closing: closing.subscribe(),
    };
    let arbiter = Arbiter::new();
    arbiter.spawn_fn(move || {
        actix_rt::spawn(run_control(control));
    });
    let parts = CoreParts {
        view,
        messages,
        metrics,
        recorder,
        log,
        incarnation,
        caller_address: caller_address.to_string(),
    };
    let core = Rc::new(EntryCore::new(settings, parts));
    serve_callers(core, caller_listener, ready, closing).await
}

async fn serve_callers(
    core: Rc<EntryCore>,
    caller_listener: TcpListener,
    ready: ReadyLine,
    closing: watch::Sender<bool>,
) -> anyhow::Result<()> {
    let settings = &core.settings.limits;
    let limits = HttpLimits {
        head_timeout: settings.head_time,
        idle_timeout: settings.idle_time,
        max_connections: settings.connections,
        ..HttpLimits::default()
    };
    actix_rt::spawn(run_queues(Rc::clone(&core)));
    actix_rt::spawn(watch_signals(Rc::clone(&core))?);
    let chain = Rc::new(FilterChain::new());
    let handler = {
        let core = Rc::clone(&core);
        move |request| answer_caller(Rc::clone(&core), Rc::clone(&chain), request)
    };
    let caller_listener = tokio::net::TcpListener::from_std(caller_listener)?;
    ready.print()?;
    let closing_inbox = closing.subscribe();
    tokio::join!(
        serve_http(caller_listener, limits, closing_inbox, handler),
        async {
            wait_until_drained(&core).await;
            closing.send_replace(true);
        }
    );
    let cut_requests = core.cut_requests.get();
    info!(core.log, "ended"; "uptime_s" => core.uptime().as_secs(), "cut" => cut_requests);
    match cut_requests {
        0 => Ok(()),
        cut_requests => Err(StartError::Runtime(format!(
            "stopped with {cut_requests} requests unfinished"
        ))
        .into()),
    }
}

/// Notifies the controllers of each SIGTERM.
fn watch_signals(core: Rc<EntryCore>) -> io::Result<impl Future<Output = ()>> {
    let mut terminate = signal(SignalKind::terminate())?;
    Ok(async move {
        while terminate.recv().await.is_some() {
            core.notify_control(ControlMessage::Terminate);
        }
    })
}

/// Waits until new requests are refused and no request is running.
async fn wait_until_drained(core: &EntryCore) {
    let mut view = core.view.clone();
    let _ = view
        .wait_for(|view| view.phase >= EntryPhase::Refusing)
        .await;
    while core.running_requests.get() > 0 {
        actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Serves the call queues: grants released slots and refuses calls that waited too long.
async fn run_queues(core: Rc<EntryCore>) {
    let releases = core.pools.borrow().releases();
    loop {
        if core.pools.borrow().has_waiting() {
            let _ = actix_rt::time::timeout(QUEUE_POLL_INTERVAL, releases.wait()).await;
        } else {
            releases.wait().await;
        }
        core.pools.borrow_mut().serve_queues(Instant::now());
    }
}

fn bind_tcp(key: &str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let bound = TcpListener::bind(address).and_then(|listener| {
        listener.set_nonblocking(true)?;
        Ok(listener)
    });
    bound.map_err(|error| StartError::Runtime(format!("{key} = \"{address}\": {error}")))
}

/// Binds the same port over TCP and UDP.
fn bind_peers(address: SocketAddr) -> Result<(TcpListener, UdpSocket), StartError> {
    let key = "listen.peers";
    let mut failure = None;
    for _ in 0..MAX_PORT_ATTEMPTS {
        let frames = bind_tcp(key, address)?;
        let bound = frames
            .local_addr()
            .and_then(UdpSocket::bind)
            .and_then(|socket| {
                socket.set_nonblocking(true)?;
                Ok(socket)
            });
        match bound {
            Ok(datagrams) => return Ok((frames, datagrams)),
            Err(error) => failure = Some(error),
        }
        if address.port() != 0 {
            break;
        }
    }
    let text = failure.map_or_else(String::new, |error| error.to_string());
    Err(StartError::Runtime(format!(
        "{key} = \"{address}\": {text}"
    )))
}
