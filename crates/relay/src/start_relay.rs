use {
    crate::{
        RelaySettings,
        caller::{answer_addresses, answer_caller, answer_operator, answer_ready},
        filters::FilterChain,
        peer::run_gossip,
        shared::{DialectSet, RelayCore, RelayPhase},
        stage::{BatchService, serve_jobs},
        state::{check_store, read_store},
    },
    actix_http::Request,
    setup::{HttpLimits, HttpReply, LogOutput, StartError, open_log, serve_http},
    slog::{error, info, warn},
    std::{
        future::Future,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        net::{TcpListener, UdpSocket},
        signal::unix::{SignalKind, signal},
        sync::watch,
    },
};

/// Name of the program in logs.
const PROGRAM: &str = "camphor-edge";
/// Time for which callers may keep a connection idle.
const CALLER_IDLE: Duration = Duration::from_secs(300);
/// Time in which the head of a request must arrive.
const HEAD_TIME: Duration = Duration::from_secs(30);
/// Part of the grace in which requests are still accepted, since callers keep addresses.
const ACCEPT_SHARE: f64 = 0.4;
/// Part of the grace after which the process ends, whatever still runs.
const END_SHARE: f64 = 0.93;
/// Pause between two looks at what still runs at the end.
const END_PAUSE: Duration = Duration::from_millis(25);

/// Runs an entry until it is told to end.
///
/// # Errors
///
/// Fails if an address cannot be listened on.
pub async fn run_relay(
    settings: RelaySettings,
    dialects: DialectSet,
    reload: impl Fn() -> anyhow::Result<RelaySettings> + 'static,
) -> anyhow::Result<()> {
    let (log, _guard) = open_log(
        settings.log.level,
        PROGRAM,
        &settings.host,
        LogOutput::Stdout,
    );
    let listen = settings.listen.clone();
    let callers = bind("listen.callers", listen.callers).await?;
    let ready = bind("listen.ready", listen.ready).await?;
    let addresses = bind("listen.addresses", listen.addresses).await?;
    let operators = bind("listen.operators", listen.operators).await?;
    let peers = bind("listen.peers", listen.peers).await?;
    let datagrams = UdpSocket::bind(listen.peers).await?;
    let grace = settings.bounds.grace;
    let key = settings.peer_identity();
    let key = key.ok_or_else(|| StartError::Settings(String::from("peers.key: wrong")))?;
    let core = RelayCore::new(settings, dialects, key, wall_us(), log);
    info!(core.log, "started"; "callers" => %listen.callers, "peers" => %listen.peers,
        "grace_ms" => grace.as_millis() as u64);
    actix_rt::spawn(read_store(Rc::clone(&core)));
    actix_rt::spawn(check_store(Rc::clone(&core)));
    actix_rt::spawn(run_gossip(Rc::clone(&core), datagrams, key));
    actix_rt::spawn(serve_jobs(Rc::clone(&core), peers));
    actix_rt::spawn(BatchService::run(Rc::clone(&core)));
    actix_rt::spawn(watch_reload(Rc::clone(&core), reload));
    let (closing, closing_inbox) = watch::channel(false);
    serve_side(&core, ready, answer_ready);
    serve_side(&core, addresses, answer_addresses);
    serve_side(&core, operators, answer_operator);
    let limits = HttpLimits {
        head_timeout: HEAD_TIME,
        idle_timeout: CALLER_IDLE,
        close_timeout: grace,
        allows_half_closed: false,
        ..HttpLimits::default()
    };
    let chain = Rc::new(FilterChain::new());
    let handler = {
        let core = Rc::clone(&core);
        move |request| answer_caller(Rc::clone(&core), Rc::clone(&chain), request)
    };
    let serving = serve_http(callers, limits, closing_inbox, handler);
    tokio::select! {
        () = async { serving.await; std::future::pending::<()>().await } => {}
        () = end_gently(&core, &closing, grace) => {}
    }
    info!(core.log, "stopped"; "unfinished" => core.running_requests.get());
    Ok(())
}

fn serve_side<Handler, Answer>(core: &Rc<RelayCore>, listener: TcpListener, answer: Handler)
where
    Handler: Fn(Rc<RelayCore>, Request) -> Answer + Clone + 'static,
    Answer: Future<Output = HttpReply> + 'static,
{
    let (closing, inbox) = watch::channel(false);
    let core = Rc::clone(core);
    let handler = move |request| answer(Rc::clone(&core), request);
    actix_rt::spawn(async move {
        serve_http(listener, HttpLimits::default(), inbox, handler).await;
        drop(closing);
    });
}

/// Waits for the request to end, then lets callers go elsewhere before the process ends.
async fn end_gently(core: &RelayCore, closing: &watch::Sender<bool>, grace: Duration) {
    let mut terminate = match signal(SignalKind::terminate()) {
        Ok(terminate) => terminate,
        Err(reason) => {
            error!(core.log, "signals cannot be heard"; "reason" => %reason);
            return std::future::pending().await;
        }
    };
    terminate.recv().await;
    let told = Instant::now();
    core.phase.set(RelayPhase::Leaving);
    info!(core.log, "leaving"; "running" => core.running_requests.get());
    actix_rt::time::sleep(grace.mul_f64(ACCEPT_SHARE)).await;
    closing.send_replace(true);
    while told.elapsed() < grace.mul_f64(END_SHARE) {
        if core.running_requests.get() == 0 {
            // Answers that were just written leave the process first.
            actix_rt::time::sleep(END_PAUSE).await;
            return;
        }
        actix_rt::time::sleep(END_PAUSE).await;
    }
}

/// Reads the settings again whenever the process is told that they changed.
async fn watch_reload(core: Rc<RelayCore>, reload: impl Fn() -> anyhow::Result<RelaySettings>) {
    let mut hangups = match signal(SignalKind::hangup()) {
        Ok(hangups) => hangups,
        Err(reason) => {
            warn!(core.log, "reloads cannot be heard"; "reason" => %reason);
            return;
        }
    };
    while hangups.recv().await.is_some() {
        match reload() {
            Ok(settings) => {
                let seeds: Vec<_> = settings.peer_seeds().collect();
                info!(core.log, "settings reloaded"; "seeds" => seeds.len());
                core.hosts.borrow_mut().set_seeds(seeds);
                core.settings.replace(settings);
            }
            Err(reason) => {
                warn!(core.log, "settings kept, the new ones are wrong"; "reason" => %reason);
            }
        }
    }
}

async fn bind(key: &str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| StartError::Runtime(format!("{key} = \"{address}\": {error}")))
}

fn wall_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
    })
}
