use {
    crate::{
        EntrySettings,
        control::{
            ControlState, MemberController, SheetController,
            life_controller::{advance, run_life},
            operator_server::{OperatorDesk, answer_operator},
            peer_frames::serve_frames,
            platform_client::PlatformClient,
        },
        shared::{ControlNote, EntryLife, EventRecorder, FleetView},
    },
    base::Incarnation,
    setup::{HttpLimits, MetricRegistry, serve_http},
    slog::Logger,
    std::{cell::RefCell, net, rc::Rc, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, UdpSocket},
        sync::{Notify, mpsc, watch},
    },
    wire::{FrameSeal, MarkSource, PeerInfo},
};

/// Pause between the reads of the host list by all daemons together.
const FLEET_LIST_GAP: Duration = Duration::from_millis(20);

/// What the controllers are started with.
pub struct ControlParts {
    pub settings: EntrySettings,
    pub incarnation: Incarnation,
    pub callers: String,
    pub metrics: MetricRegistry,
    pub recorder: EventRecorder,
    pub log: Logger,
    pub published: watch::Sender<Arc<FleetView>>,
    pub notes: mpsc::UnboundedReceiver<ControlNote>,
    pub operators: net::TcpListener,
    pub peer_frames: net::TcpListener,
    pub peer_datagrams: net::UdpSocket,
    pub closing: watch::Receiver<bool>,
}

/// Runs the controllers: reads the platform, talks to peers and operators, and publishes what
/// the data path should know.
pub async fn run_control(parts: ControlParts) -> anyhow::Result<()> {
    let operators = TcpListener::from_std(parts.operators)?;
    let frames = TcpListener::from_std(parts.peer_frames)?;
    let datagrams = UdpSocket::from_std(parts.peer_datagrams)?;
    let peers = parts
        .settings
        .peers
        .advertise
        .map_or(datagrams.local_addr()?, |address| address);
    let (words, mut word_inbox) = mpsc::unbounded_channel();
    let state = Rc::new(ControlState {
        settings: parts.settings,
        incarnation: parts.incarnation,
        metrics: parts.metrics,
        recorder: parts.recorder,
        log: parts.log,
        view: RefCell::new(FleetView::default()),
        published: parts.published,
        words,
        draining: Notify::new(),
    });
    let own = own_self(&state, parts.callers, peers.to_string());
    let members = Rc::new(MemberController::new(Rc::clone(&state), datagrams, own));
    let sheets = Rc::new(SheetController::new(
        Rc::clone(&state),
        Rc::clone(&members),
        platform_client(&state),
    ));
    let desk = Rc::new(OperatorDesk::new(&state, &members, &sheets));
    let handler = move |request| answer_operator(Rc::clone(&desk), request);
    actix_rt::spawn(serve_http(
        operators,
        HttpLimits::default(),
        parts.closing,
        handler,
    ));
    actix_rt::spawn(serve_peers(frames, Rc::clone(&sheets)));
    actix_rt::spawn(Rc::clone(&members).receive());
    actix_rt::spawn(Rc::clone(&members).tick());
    actix_rt::spawn(run_life(Rc::clone(&state), Rc::clone(&members)));
    actix_rt::spawn(take_notes(
        Rc::clone(&state),
        Rc::clone(&members),
        parts.notes,
    ));
    actix_rt::spawn(read_hosts(
        Rc::clone(&state),
        Rc::clone(&members),
        Rc::clone(&sheets),
    ));
    actix_rt::spawn(Rc::clone(&sheets).read_index());
    actix_rt::spawn(Rc::clone(&sheets).tick());
    while let Some(word) = word_inbox.recv().await {
        sheets.on_word(word);
    }
    Ok(())
}

fn own_self(state: &ControlState, callers: String, peers: String) -> PeerInfo {
    PeerInfo {
        host: state.settings.host.clone(),
        incarnation: state.incarnation,
        data_centre: state.settings.data_centre.clone(),
        callers,
        peers,
        size: state.settings.size,
        leaving: false,
        sheet_version: 0,
        sheet_digest: [0; 8],
    }
}

fn platform_client(state: &ControlState) -> PlatformClient {
    let platform = &state.settings.platform;
    PlatformClient::new(platform.address, platform.read_time)
}

async fn serve_peers(listener: TcpListener, sheets: Rc<SheetController>) {
    let seal = FrameSeal::new(sheets.fleet_key());
    serve_frames(listener, seal, move |frame| {
        let sheets = Rc::clone(&sheets);
        async move { sheets.answer(&frame) }
    })
    .await;
}

/// Reads the host list for ever; the more entries there are, the less often each reads it.
async fn read_hosts(
    state: Rc<ControlState>,
    members: Rc<MemberController>,
    sheets: Rc<SheetController>,
) {
    let client = platform_client(&state);
    loop {
        if let Some(list) = client.hosts().await {
            members.on_host_list(list);
        }
        sheets.list_peers();
        let entries = u32::try_from(members.entries().len()).unwrap_or(u32::MAX);
        let pause = state.settings.platform.poll.max(FLEET_LIST_GAP * entries);
        actix_rt::time::sleep(pause).await;
    }
}

async fn take_notes(
    state: Rc<ControlState>,
    members: Rc<MemberController>,
    mut notes: mpsc::UnboundedReceiver<ControlNote>,
) {
    while let Some(note) = notes.recv().await {
        match note {
            ControlNote::SheetSeen(version) => {
                state.tell(crate::control::SheetWord::Proved(version));
            }
            ControlNote::TargetLeaving(target) => {
                members.mark_target(&target, MarkSource::Target);
            }
            ControlNote::Strike {
                fingerprint,
                victim,
                strikes,
            } => members.note_strike(fingerprint, victim, strikes),
            ControlNote::Terminate => terminate(&state),
        }
    }
}

/// The first word begins the shutdown, a second one ends what still runs.
fn terminate(state: &ControlState) {
    if state.view.borrow().life == EntryLife::Serving {
        state.drain();
    } else {
        advance(state, EntryLife::Stopping);
    }
}
