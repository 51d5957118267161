use {
    crate::{
        EntrySettings,
        control::{
            ControlState, operator_server::answer_operator, platform_client::PlatformClient,
        },
        shared::{ControlNote, EventRecorder, FleetView},
    },
    base::{HostList, HostState, Incarnation},
    setup::{HttpLimits, MetricBoard, serve_http},
    sheet::{FleetSheet, SheetIndex},
    slog::{Logger, info, warn},
    stamp::EventKind,
    std::{cell::RefCell, net, rc::Rc, sync::Arc},
    tokio::{
        net::{TcpListener, UdpSocket},
        sync::{mpsc, watch},
    },
};

/// Key of the sheet's index at the configuration service.
const INDEX_KEY: &str = "sheet/index";

/// What the controllers are started with.
pub struct ControlParts {
    pub settings: EntrySettings,
    pub incarnation: Incarnation,
    pub metrics: MetricBoard,
    pub recorder: EventRecorder,
    pub log: Logger,
    pub published: watch::Sender<Arc<FleetView>>,
    pub notes: mpsc::UnboundedReceiver<ControlNote>,
    pub operators: net::TcpListener,
    pub peer_frames: net::TcpListener,
    pub peer_datagrams: net::UdpSocket,
}

/// Runs the controllers: reads the platform, talks to peers and operators, and publishes what
/// the data path should know.
pub async fn run_control(parts: ControlParts) {
    let state = Rc::new(ControlState {
        settings: parts.settings,
        incarnation: parts.incarnation,
        metrics: parts.metrics,
        recorder: parts.recorder,
        log: parts.log,
        view: RefCell::new(FleetView::default()),
        texts: RefCell::default(),
        published: parts.published,
    });
    if let Ok(listener) = TcpListener::from_std(parts.operators) {
        let state = Rc::clone(&state);
        let handler = move |request| answer_operator(Rc::clone(&state), request);
        actix_rt::spawn(serve_http(listener, HttpLimits::default(), handler));
    }
    let _sockets = (
        TcpListener::from_std(parts.peer_frames),
        UdpSocket::from_std(parts.peer_datagrams),
    );
    read_platform(state, parts.notes).await;
}

async fn read_platform(state: Rc<ControlState>, mut notes: mpsc::UnboundedReceiver<ControlNote>) {
    let platform = &state.settings.platform;
    let client = PlatformClient::new(platform.address, platform.read_time);
    loop {
        if let Some(list) = client.hosts().await {
            take_hosts(&state, list);
        }
        read_sheet(&client, &state).await;
        let note = actix_rt::time::timeout(platform.poll, notes.recv()).await;
        if let Ok(Some(ControlNote::TargetLeaving(target))) = note {
            state.mark_target(&target, true);
        }
    }
}

fn take_hosts(state: &ControlState, list: HostList) {
    let live = list
        .hosts
        .into_iter()
        .filter(|row| row.state == HostState::Live)
        .collect();
    state.change(|view| view.hosts = live);
}

async fn read_sheet(client: &PlatformClient, state: &ControlState) {
    let Some(text) = client.value(INDEX_KEY).await else {
        return;
    };
    let Ok(index) = toml::from_str::<SheetIndex>(&text) else {
        return;
    };
    if index.version <= state.view.borrow().version() {
        return;
    }
    let mut texts = Vec::new();
    for part in &index.part {
        let Some(text) = client.value(&part.key).await else {
            return;
        };
        texts.push(text);
    }
    match FleetSheet::assemble(index, &texts) {
        Ok(sheet) => put_in_force(state, sheet, texts),
        Err(errors) => {
            for error in errors {
                warn!(state.log, "sheet refused"; "error" => error.to_string());
            }
        }
    }
}

fn put_in_force(state: &ControlState, sheet: FleetSheet, texts: Vec<String>) {
    let version = sheet.version();
    info!(state.log, "sheet in force"; "version" => version);
    state.recorder.record(EventKind::SheetInForce, |event| {
        event.with_sheet_version(version)
    });
    state.texts.replace(texts);
    state.change(|view| {
        view.latest_version = view.latest_version.max(version);
        view.sheet = Some(Arc::new(sheet));
    });
}
