use {
    crate::{
        EntrySettings,
        control::{ControlInputs, run_control},
        data::{EntryCore, caller_server::answer_caller, entry_core::CoreParts},
        filters::FilterChain,
        shared::{
            ControlMessage, EntryPhase, EventRecorder, FleetView, report_room, report_uploads,
            wall_us,
        },
    },
    actix_rt::Arbiter,
    room::ClientRoom,
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
/// Time for which replies are still written once running requests were cut off.
const LAST_WRITE_TIME: Duration = Duration::from_secs(2);
/// Interval at which the queues are checked for calls that can no longer meet their deadline.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of attempts to bind the same port over TCP and UDP when the configured port is 0,
/// that is, chosen by the kernel.
const MAX_PORT_ATTEMPTS: usize = 32;

/// Runs an entry daemon until it is told to shut down.
///
/// # Errors
///
/// Fails if an address can't be bound, or if requests were unfinished when the process had to end.
pub async fn run_entry(settings: EntrySettings) -> anyhow::Result<()> {
    let (log, _guard) = open_log(
        settings.log.level,
        PROGRAM,
        &settings.host,
        LogOutput::Stderr,
    );
    let caller_listener = bind_tcp("listen.callers", settings.listen.callers)?;
    let operator_listener = bind_tcp("listen.operators", settings.listen.operators)?;
    let (peer_listener, peer_socket) = bind_peers(settings.listen.peers)?;
    let caller_address = caller_listener.local_addr()?;
    let ready = ReadyLine::new(PROGRAM, &settings.host)
        .with_address("callers", caller_address)
        .with_address("peers", peer_socket.local_addr()?)
        .with_address("operators", operator_listener.local_addr()?);
    let (view_sender, view) = watch::channel(Arc::new(FleetView::default()));
    let (message_sender, message_receiver) = mpsc::unbounded_channel();
    let metrics = MetricRegistry::open(settings.metrics.statsd)?;
    let recorder = EventRecorder::new(&settings.host);
    let incarnation = wall_us();
    recorder.record(EventKind::ProcessStarted, |event| event);
    let (shutdown_sender, _) = watch::channel(false);
    let control = ControlInputs {
        caller_address: caller_address.to_string(),
        settings: settings.clone(),
        incarnation,
        metrics: metrics.clone(),
        recorder: recorder.clone(),
        log: log.clone(),
        view_sender,
        message_receiver,
        operator_listener,
        peer_listener,
        peer_socket,
        operator_close_receiver: shutdown_sender.subscribe(),
    };
    let arbiter = Arbiter::new();
    arbiter.spawn_fn(move || {
        actix_rt::spawn(run_control(control));
    });
    let parts = CoreParts {
        view,
        message_sender,
        metrics,
        recorder,
        log,
        incarnation,
        caller_address: caller_address.to_string(),
    };
    let core = Rc::new(EntryCore::new(settings, parts));
    serve_callers(core, caller_listener, ready, shutdown_sender).await
}

async fn serve_callers(
    core: Rc<EntryCore>,
    caller_listener: TcpListener,
    ready: ReadyLine,
    shutdown_sender: watch::Sender<bool>,
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
    let shutdown_receiver = shutdown_sender.subscribe();
    let room = ClientRoom::new(core.settings.memory_shares().caller_bytes());
    actix_rt::spawn(report_room(
        String::from("callers"),
        Arc::clone(room.counts()),
        core.metrics.clone(),
        core.log.clone(),
    ));
    let upload_room = Arc::clone(&core.upload_room);
    actix_rt::spawn(report_uploads(upload_room, core.metrics.clone()));
    tokio::join!(
        serve_http(caller_listener, limits, room, shutdown_receiver, handler),
        async {
            wait_until_drained(&core).await;
            shutdown_sender.send_replace(true);
        }
    );
    let unfinished_requests = core.unfinished_requests.get();
    info!(core.log, "ended"; "uptime_s" => core.uptime().as_secs(), "cut" => unfinished_requests);
    match unfinished_requests {
        0 => Ok(()),
        unfinished_requests => Err(StartError::Runtime(format!(
            "stopped with {unfinished_requests} requests unfinished"
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

/// Waits until new requests are refused and the replies to all others were written. A caller that reads
/// no more is waited for only for a while after the running requests were cut off.
async fn wait_until_drained(core: &EntryCore) {
    wait_for_phase(core, EntryPhase::Refusing).await;
    let all_written = async {
        while core.running_requests.get() > 0 {
            actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    };
    let limit = async {
        wait_for_phase(core, EntryPhase::Stopping).await;
        actix_rt::time::sleep(LAST_WRITE_TIME).await;
    };
    tokio::select! {
        () = all_written => {}
        () = limit => {
            let unwritten = core.running_requests.get();
            let unfinished = &core.unfinished_requests;
            unfinished.set(unfinished.get() + unwritten);
        }
    }
}

async fn wait_for_phase(core: &EntryCore, phase: EntryPhase) {
    let mut view = core.view.clone();
    // The sender lives as long as the process.
    let _ = view.wait_for(|view| view.phase >= phase).await;
}

/// Serves the call queues: grants released slots and refuses calls that can no longer meet
/// their deadline.
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
        let listener = bind_tcp(key, address)?;
        let bound = listener
            .local_addr()
            .and_then(UdpSocket::bind)
            .and_then(|socket| {
                socket.set_nonblocking(true)?;
                Ok(socket)
            });
        match bound {
            Ok(socket) => return Ok((listener, socket)),
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
