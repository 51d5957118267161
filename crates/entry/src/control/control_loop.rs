use {
    crate::{
        EntrySettings,
        control::{
            ControlState, MemberController, SheetController,
            operator_server::{OperatorContext, answer_operator},
            peer_frames::serve_frames,
            platform_client::PlatformClient,
            shutdown::{enter_phase, run_shutdown},
        },
        shared::{ControlMessage, EntryPhase, EventRecorder, FleetView, report_room},
    },
    base::Incarnation,
    room::ClientRoom,
    setup::{HttpLimits, MetricRegistry, serve_http},
    slog::Logger,
    std::{cell::RefCell, net, rc::Rc, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, UdpSocket},
        sync::{Notify, mpsc, watch},
    },
    wire::{FrameSeal, MarkSource, PeerInfo},
};

/// Minimum mean interval between reads of the host list over the whole fleet, so that the load on
/// the platform does not grow with the fleet.
const HOST_LIST_READ_GAP: Duration = Duration::from_millis(20);

/// Inputs of [`run_control`].
pub struct ControlInputs {
    pub settings: EntrySettings,
    pub incarnation: Incarnation,
    /// Address that callers connect to.
    pub caller_address: String,
    pub metrics: MetricRegistry,
    pub recorder: EventRecorder,
    pub log: Logger,
    /// Sends each new [`FleetView`] to the data path.
    pub view_sender: watch::Sender<Arc<FleetView>>,
    /// Messages of the data path.
    pub message_receiver: mpsc::UnboundedReceiver<ControlMessage>,
    /// Listener for the requests of operators.
    pub operator_listener: net::TcpListener,
    /// Listener for the frames of peers.
    pub peer_listener: net::TcpListener,
    /// Socket for the datagrams of peers.
    pub peer_socket: net::UdpSocket,
    /// True once the operators' server has to close.
    pub operator_close_receiver: watch::Receiver<bool>,
}

/// Runs the controllers: reads the platform, exchanges messages with peers, answers operators and
/// publishes the fleet view to the data path.
///
/// # Errors
///
/// Fails if a socket cannot be registered with the runtime.
pub async fn run_control(inputs: ControlInputs) -> anyhow::Result<()> {
    let operator_listener = TcpListener::from_std(inputs.operator_listener)?;
    let peer_listener = TcpListener::from_std(inputs.peer_listener)?;
    let peer_socket = UdpSocket::from_std(inputs.peer_socket)?;
    let peer_address = inputs
        .settings
        .peers
        .advertise
        .map_or(peer_socket.local_addr()?, |address| address);
    let (sheet_notice_sender, mut notice_inbox) = mpsc::unbounded_channel();
    let state = Rc::new(ControlState {
        settings: inputs.settings,
        incarnation: inputs.incarnation,
        metrics: inputs.metrics,
        recorder: inputs.recorder,
        log: inputs.log,
        view: RefCell::new(FleetView::default()),
        view_sender: inputs.view_sender,
        sheet_notice_sender,
        shutdown_started: Notify::new(),
    });
    let own = own_info(&state, inputs.caller_address, peer_address.to_string());
    let members = Rc::new(MemberController::new(Rc::clone(&state), peer_socket, own));
    let sheets = Rc::new(SheetController::new(
        Rc::clone(&state),
        Rc::clone(&members),
        platform_client(&state),
    ));
    let shares = state.settings.memory_shares();
    let operator_room = ClientRoom::new(shares.auxiliary_bytes());
    let peer_room = ClientRoom::new(shares.peer_bytes());
    report_clients(&state, "operators", &operator_room);
    report_clients(&state, "peers", &peer_room);
    let context = Rc::new(OperatorContext::new(&state, &members, &sheets));
    let handler = move |request| answer_operator(Rc::clone(&context), request);
    actix_rt::spawn(serve_http(
        operator_listener,
        HttpLimits::default(),
        operator_room,
        inputs.operator_close_receiver,
        handler,
    ));
    actix_rt::spawn(serve_peer_frames(
        peer_listener,
        peer_room,
        Rc::clone(&sheets),
    ));
    actix_rt::spawn(Rc::clone(&members).receive_datagrams());
    actix_rt::spawn(Rc::clone(&members).run_ticks());
    actix_rt::spawn(run_shutdown(Rc::clone(&state), Rc::clone(&members)));
    actix_rt::spawn(handle_messages(
        Rc::clone(&state),
        Rc::clone(&members),
        inputs.message_receiver,
    ));
    actix_rt::spawn(poll_host_list(
        Rc::clone(&state),
        Rc::clone(&members),
        Rc::clone(&sheets),
    ));
    actix_rt::spawn(Rc::clone(&sheets).run_index_reads());
    actix_rt::spawn(Rc::clone(&sheets).run_ticks());
    while let Some(notice) = notice_inbox.recv().await {
        sheets.on_notice(notice);
    }
    Ok(())
}

fn own_info(state: &ControlState, caller_address: String, peer_address: String) -> PeerInfo {
    PeerInfo {
        host: state.settings.host.clone(),
        incarnation: state.incarnation,
        data_centre: state.settings.data_centre.clone(),
        callers: caller_address,
        peers: peer_address,
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

/// Reports the room of an address in metrics and the log, in the background.
fn report_clients(state: &ControlState, address: &str, room: &Rc<ClientRoom>) {
    let counts = Arc::clone(room.counts());
    let (metrics, log) = (state.metrics.clone(), state.log.clone());
    actix_rt::spawn(report_room(address.to_string(), counts, metrics, log));
}

async fn serve_peer_frames(
    listener: TcpListener,
    room: Rc<ClientRoom>,
    sheets: Rc<SheetController>,
) {
    let seal = FrameSeal::new(sheets.fleet_key());
    serve_frames(listener, room, seal, move |frame| {
        let sheets = Rc::clone(&sheets);
        async move { sheets.answer_frame(&frame) }
    })
    .await;
}

/// Reads the host list for ever. The pause grows with the number of entries; see
/// [`HOST_LIST_READ_GAP`].
async fn poll_host_list(
    state: Rc<ControlState>,
    members: Rc<MemberController>,
    sheets: Rc<SheetController>,
) {
    let client = platform_client(&state);
    loop {
        if let Some(list) = client.read_host_list().await {
            members.on_host_list(list);
        }
        sheets.update_peers();
        let entry_count = u32::try_from(members.accepting_entries().len()).unwrap_or(u32::MAX);
        let pause = state
            .settings
            .platform
            .poll
            .max(HOST_LIST_READ_GAP * entry_count);
        actix_rt::time::sleep(pause).await;
    }
}

/// Passes the messages of the data path to the controllers.
async fn handle_messages(
    state: Rc<ControlState>,
    members: Rc<MemberController>,
    mut messages: mpsc::UnboundedReceiver<ControlMessage>,
) {
    while let Some(message) = messages.recv().await {
        match message {
            ControlMessage::SeenVersion(version) => {
                state.notify_sheet_controller(crate::control::SheetNotice::SeenVersion(version));
            }
            ControlMessage::TargetLeaving(target) => {
                members.mark_target_leaving(&target, MarkSource::Target);
            }
            ControlMessage::Strike {
                fingerprint,
                victim,
                strikes,
            } => members.record_strike(fingerprint, victim, strikes),
            ControlMessage::Terminate => on_terminate(&state),
        }
    }
}

/// Starts the shutdown on the first termination signal and aborts the running requests on the
/// second.
fn on_terminate(state: &ControlState) {
    if state.view.borrow().phase == EntryPhase::Serving {
        state.start_shutdown();
    } else {
        enter_phase(state, EntryPhase::Stopping);
    }
}
