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

/// Name of the program in logs and on the ready line.
const PROGRAM: &str = "camphor-entry";
/// Time between two looks at what still runs at the end.
const END_PAUSE: Duration = Duration::from_millis(10);
/// Time between two looks for calls that can no longer finish.
const QUEUE_TICK: Duration = Duration::from_millis(10);
/// Tries to get the same port number over UDP and TCP where the kernel chooses it.
const PORT_TRIES: usize = 32;

/// Runs an entry daemon until it is told to end.
///
/// # Errors
///
/// Fails if an address cannot be listened on.
pub async fn run_entry(settings: EntrySettings) -> anyhow::Result<()> {
    let (log, _guard) = open_log(
        settings.log.level,
        PROGRAM,
        &settings.host,
        LogOutput::Stderr,
    );
    let callers = listen("listen.callers", settings.listen.callers)?;
    let operators = listen("listen.operators", settings.listen.operators)?;
    let (peer_frames, peer_datagrams) = listen_peers(settings.listen.peers)?;
    let address = callers.local_addr()?;
    let ready = ReadyLine::new(PROGRAM, &settings.host)
        .with_address("callers", address)
        .with_address("peers", peer_datagrams.local_addr()?)
        .with_address("operators", operators.local_addr()?);
    let (published, view) = watch::channel(Arc::new(FleetView::default()));
    let (notes, message_inbox) = mpsc::unbounded_channel();
    let metrics = MetricRegistry::open(settings.metrics.statsd)?;
    let recorder = EventRecorder::new(&settings.host);
    let incarnation = wall_us();
    recorder.record(EventKind::ProcessStarted, |event| event);
    let (closing, _) = watch::channel(false);
    let control = ControlParts {
        callers: address.to_string(),
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
        notes,
        metrics,
        recorder,
        log,
        incarnation,
        callers: address.to_string(),
    };
    let core = Rc::new(EntryCore::new(settings, parts));
    serve_callers(core, callers, ready, closing).await
}

async fn serve_callers(
    core: Rc<EntryCore>,
    callers: TcpListener,
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
    let callers = tokio::net::TcpListener::from_std(callers)?;
    ready.print()?;
    let closing_inbox = closing.subscribe();
    tokio::join!(serve_http(callers, limits, closing_inbox, handler), async {
        wait_end(&core).await;
        closing.send_replace(true);
    });
    let cut = core.cut.get();
    info!(core.log, "ended"; "uptime_s" => core.uptime().as_secs(), "cut" => cut);
    match cut {
        0 => Ok(()),
        cut => Err(StartError::Runtime(format!("stopped with {cut} requests unfinished")).into()),
    }
}

/// Passes each word of the operating system that the process should end to the controllers.
fn watch_signals(core: Rc<EntryCore>) -> io::Result<impl Future<Output = ()>> {
    let mut terminate = signal(SignalKind::terminate())?;
    Ok(async move {
        while terminate.recv().await.is_some() {
            core.note(ControlMessage::Terminate);
        }
    })
}

/// Returns once nothing runs any more and nothing new is let in.
async fn wait_end(core: &EntryCore) {
    let mut view = core.view.clone();
    let _ = view
        .wait_for(|view| view.phase >= EntryPhase::Refusing)
        .await;
    while core.running.get() > 0 {
        actix_rt::time::sleep(END_PAUSE).await;
    }
}

/// Hands out places that calls gave back, and ends calls that waited too long.
async fn run_queues(core: Rc<EntryCore>) {
    let returns = core.pools.borrow().returns();
    loop {
        if core.pools.borrow().has_waiting() {
            let _ = actix_rt::time::timeout(QUEUE_TICK, returns.filled()).await;
        } else {
            returns.filled().await;
        }
        core.pools.borrow_mut().run(Instant::now());
    }
}

fn listen(key: &str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let bound = TcpListener::bind(address).and_then(|listener| {
        listener.set_nonblocking(true)?;
        Ok(listener)
    });
    bound.map_err(|error| StartError::Runtime(format!("{key} = \"{address}\": {error}")))
}

/// Binds the same port over TCP and UDP.
fn listen_peers(address: SocketAddr) -> Result<(TcpListener, UdpSocket), StartError> {
    let key = "listen.peers";
    let mut failure = None;
    for _ in 0..PORT_TRIES {
        let frames = listen(key, address)?;
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
