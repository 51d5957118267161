use {
    crate::{
        EntrySettings,
        control::{ControlParts, run_control},
        data::{EntryCore, caller_server::answer_caller, entry_core::CoreParts},
        filters::FilterChain,
        shared::FleetView,
    },
    actix_rt::Arbiter,
    setup::{HttpLimits, MetricBoard, ReadyLine, StartError, open_log, serve_http},
    std::{
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::{SystemTime, UNIX_EPOCH},
    },
    tokio::{
        net::TcpListener,
        signal::unix::{SignalKind, signal},
        sync::{mpsc, watch},
    },
};

/// Name of the program in logs and on the ready line.
const PROGRAM: &str = "camphor-entry";

/// Runs an entry daemon until it is told to end.
///
/// # Errors
///
/// Fails if an address cannot be listened on.
pub async fn run_entry(settings: EntrySettings) -> anyhow::Result<()> {
    let log = open_log(settings.log.level, PROGRAM, &settings.host);
    let callers = listen("listen.callers", settings.listen.callers).await?;
    let address = callers.local_addr()?;
    let (view_sender, view) = watch::channel(Arc::new(FleetView::default()));
    let (notes, note_inbox) = mpsc::unbounded_channel();
    let parts = CoreParts {
        view,
        notes,
        metrics: MetricBoard::open(settings.metrics.statsd)?,
        log: log.clone(),
        incarnation: incarnation(),
        callers: address.to_string(),
    };
    let core = Rc::new(EntryCore::new(settings.clone(), parts));
    let control = Arbiter::new();
    control.spawn_fn({
        let parts = ControlParts {
            settings: settings.clone(),
            view: view_sender,
            notes: note_inbox,
            log,
        };
        move || {
            actix_rt::spawn(run_control(parts));
        }
    });
    ReadyLine::new(PROGRAM, &settings.host)
        .at("callers", address)
        .print()?;
    let limits = HttpLimits {
        head_time: settings.limits.head_time,
        idle_time: settings.limits.idle_time,
        connections: settings.limits.connections,
    };
    let chain = Rc::new(FilterChain::new());
    let handler = move |request| answer_caller(Rc::clone(&core), Rc::clone(&chain), request);
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        () = serve_http(callers, limits, handler) => {}
        _ = terminate.recv() => {}
    }
    Ok(())
}

async fn listen(key: &str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| StartError::Machine(format!("{key} = \"{address}\": {error}")))
}

/// Start of this process in microseconds since the Unix epoch.
fn incarnation() -> u64 {
    let age = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(age.as_micros()).unwrap_or(u64::MAX)
}
