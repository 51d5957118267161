use {
    crate::{
        RelaySettings,
        caller::{RequestSender, answer_addresses, answer_caller, answer_operator, answer_ready},
        client_rooms::report_ended_clients,
        descriptor_shares::DescriptorShares,
        drain::shut_down_gracefully,
        filters::FilterChain,
        link::watch_link,
        peer::run_gossip,
        shared::{DialectSet, RelayCore},
        stage::{BatchService, serve_peers},
        state::{check_store, read_store},
    },
    actix_http::Request,
    room::ClientRoom,
    setup::{HttpLimits, HttpReply, LogOutput, StartError, log_panics, open_log, serve_http},
    slog::{info, warn},
    std::{
        future::Future,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        net::{TcpListener, UdpSocket},
        signal::unix::{Signal, SignalKind, signal},
        sync::{Mutex, watch},
    },
};

/// Name of the program in logs.
const PROGRAM: &str = "camphor-edge";
/// Time after which an idle connection of a caller is closed.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(300);
/// Longest time that a listener waits for its connections; the shutdown ends before.
const MAX_CLOSE_TIME: Duration = Duration::from_secs(24 * 3_600);
/// Time-out for the arrival of a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Runs an entry until SIGTERM. `load` reads the settings; it is called at the start and on SIGHUP.
///
/// # Errors
///
/// Fails if the settings or the peer key are invalid or an address cannot be bound.
pub async fn run_relay(
    dialects: DialectSet,
    load: impl Fn() -> anyhow::Result<RelaySettings> + 'static,
) -> anyhow::Result<()> {
    // A signal that comes before its handler would end the process at once.
    let hangups = signal(SignalKind::hangup())?;
    let terminations = signal(SignalKind::terminate())?;
    let settings = load()?;
    let (log, _guard) = open_log(
        settings.log.level,
        PROGRAM,
        &settings.host,
        LogOutput::Stdout,
    );
    log_panics(&log);
    let listen = settings.listen.clone();
    let callers = bind("listen.callers", listen.callers).await?;
    let ready = bind("listen.ready", listen.ready).await?;
    let addresses = bind("listen.addresses", listen.addresses).await?;
    let operators = bind("listen.operators", listen.operators).await?;
    let peers = bind("listen.peers", listen.peers).await?;
    let hops = bind("listen.hops", listen.hop_address()).await?;
    let datagrams = UdpSocket::bind(listen.peers).await?;
    let grace = settings.bounds.grace;
    let peer_key = settings.peer_key();
    let peer_key = peer_key.ok_or_else(|| {
        StartError::Settings(String::from("peers.key: must be 64 hexadecimal digits"))
    })?;
    let core = RelayCore::new(settings, dialects, peer_key, unix_time_us(), log);
    info!(core.log, "started"; "callers" => %listen.callers, "peers" => %listen.peers,
        "grace_ms" => grace.as_millis() as u64);
    let (peers, datagrams) = (Rc::new(peers), Rc::new(datagrams));
    let (hangups, load) = (Rc::new(Mutex::new(hangups)), Rc::new(load));
    keep_running(&core, "read_store", read_store);
    keep_running(&core, "check_store", check_store);
    keep_running(&core, "run_gossip", move |core| {
        run_gossip(core, Rc::clone(&datagrams), peer_key)
    });
    keep_running(&core, "serve_peers", move |core| {
        serve_peers(core, Rc::clone(&peers))
    });
    keep_running(&core, "run_batches", BatchService::run);
    keep_running(&core, "watch_link", watch_link);
    keep_running(&core, "report_ended_clients", report_ended_clients);
    keep_running(&core, "reload_on_hangup", move |core| {
        reload_on_hangup(core, Rc::clone(&hangups), Rc::clone(&load))
    });
    let shares = DescriptorShares::of_process();
    let (closing, closing_inbox) = watch::channel(false);
    let rooms = &core.client_rooms;
    serve_auxiliary(&core, ready, &rooms.ready, answer_ready);
    serve_auxiliary(&core, addresses, &rooms.addresses, answer_addresses);
    serve_auxiliary(&core, operators, &rooms.operators, answer_operator);
    let limits = HttpLimits {
        head_timeout: HEAD_TIMEOUT,
        idle_timeout: CALLER_IDLE_TIMEOUT,
        close_timeout: MAX_CLOSE_TIME,
        allows_half_closed: false,
        max_connections: shares.callers(),
        ..HttpLimits::default()
    };
    let hop_limits = HttpLimits {
        max_connections: shares.hops(),
        ..limits
    };
    let chain = Rc::new(FilterChain::new());
    let handler = |sender: RequestSender| {
        let (core, chain) = (Rc::clone(&core), Rc::clone(&chain));
        move |request| answer_caller(Rc::clone(&core), Rc::clone(&chain), sender, request)
    };
    let caller_handler = handler(RequestSender::Caller);
    let hop_handler = handler(RequestSender::Peer);
    let servers = [
        actix_rt::spawn(serve_http(
            callers,
            limits,
            Rc::clone(&rooms.callers),
            closing_inbox.clone(),
            caller_handler,
        )),
        actix_rt::spawn(serve_http(
            hops,
            hop_limits,
            Rc::clone(&rooms.hops),
            closing_inbox,
            hop_handler,
        )),
    ];
    shut_down_gracefully(&core, terminations, closing, async {
        for server in servers {
            // A server that has failed has nothing left to wait for.
            let _ = server.await;
        }
        core.batch_service.until_idle().await;
    })
    .await;
    Ok(())
}

/// Runs a task that serves all requests for as long as the process runs.
fn keep_running<Work: Future<Output = ()> + 'static>(
    core: &Rc<RelayCore>,
    task: &'static str,
    begin: impl Fn(Rc<RelayCore>) -> Work + 'static,
) {
    let owner = Rc::clone(core);
    core.tasks
        .keep_running(task, move || begin(Rc::clone(&owner)));
}

/// Serves one of the addresses other than the callers'; it stays open until the process exits.
fn serve_auxiliary<Handler, Answer>(
    core: &Rc<RelayCore>,
    listener: TcpListener,
    room: &Rc<ClientRoom>,
    answer: Handler,
) where
    Handler: Fn(Rc<RelayCore>, Request) -> Answer + Clone + 'static,
    Answer: Future<Output = HttpReply> + 'static,
{
    let (closing, inbox) = watch::channel(false);
    let (core, room) = (Rc::clone(core), Rc::clone(room));
    let handler = move |request| answer(Rc::clone(&core), request);
    let limits = HttpLimits {
        max_connections: DescriptorShares::of_process().auxiliary(),
        ..HttpLimits::default()
    };
    actix_rt::spawn(async move {
        serve_http(listener, limits, room, inbox, handler).await;
        drop(closing);
    });
}

/// Reloads the settings whenever the process gets SIGHUP. Invalid ones are ignored.
async fn reload_on_hangup(
    core: Rc<RelayCore>,
    hangups: Rc<Mutex<Signal>>,
    load: Rc<impl Fn() -> anyhow::Result<RelaySettings>>,
) {
    let mut hangups = hangups.lock().await;
    while hangups.recv().await.is_some() {
        match load() {
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

async fn bind(settings_key: &str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|error| StartError::Runtime(format!("{settings_key} = \"{address}\": {error}")))
}

/// Returns the Unix time in microseconds, which serves as the incarnation of the process.
fn unix_time_us() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |since_epoch| {
        u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
    })
}
