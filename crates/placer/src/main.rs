//! The placer: orders engines to load the models that the sheet in force names. It runs next to
//! an entry on the same host and reads the sheet and the live hosts from it.

mod engine_client;
mod entry_reader;
mod http_client;
mod operator_server;
mod order_loop;
mod placer_settings;
mod placer_state;

use {
    crate::{
        entry_reader::EntryReader, operator_server::answer_operator, order_loop::OrderLoop,
        placer_settings::PlacerSettings, placer_state::PlacerState,
    },
    room::ClientRoom,
    setup::{HttpLimits, LogOutput, ReadyLine, open_log, serve_http},
    std::{process::ExitCode, rc::Rc, sync::Arc},
    tokio::{
        net::TcpListener,
        signal::unix::{SignalKind, signal},
        sync::{mpsc, watch},
    },
};

/// Bring engines into the state that the sheet in force wants.
#[derive(argh::FromArgs)]
struct PlacerArgs {
    /// settings file in TOML
    #[argh(option)]
    settings: String,
}

fn main() -> ExitCode {
    let args: PlacerArgs = argh::from_env();
    setup::exit_code(load_and_run(&args))
}

fn load_and_run(args: &PlacerArgs) -> anyhow::Result<()> {
    let settings: PlacerSettings = setup::load_settings(&args.settings)?;
    settings.check(&args.settings)?;
    actix_rt::System::new().block_on(run(settings))
}

/// Runs until SIGTERM. An order in flight at that time needs no clean-up: it states the whole
/// wanted state, and the next owner of the target reads the engine before it sends an order.
async fn run(settings: PlacerSettings) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let listener = TcpListener::bind(settings.listen).await?;
    let ready = ReadyLine::new("camphor-placer", &settings.host)
        .with_address("operators", listener.local_addr()?);
    let (log, _log_guard) = open_log(
        settings.log,
        "camphor-placer",
        &settings.host,
        LogOutput::Stderr,
    );
    let room = ClientRoom::new(settings.memory_shares().auxiliary_bytes());
    let counts = Arc::clone(room.counts());
    let state = Rc::new(PlacerState::open(settings, log)?);
    let (_closing_sender, closing) = watch::channel(false);
    let (event_sender, event_receiver) = mpsc::unbounded_channel();
    ready.print()?;
    let operator_state = Rc::clone(&state);
    let handler = move |request| {
        let reply = answer_operator(&operator_state, &counts, &request);
        async move { reply }
    };
    tokio::select! {
        () = serve_http(listener, HttpLimits::default(), room, closing, handler) => {}
        () = EntryReader::new(Rc::clone(&state), event_sender.clone()).run() => {}
        () = OrderLoop::new(Rc::clone(&state), event_sender).run(event_receiver) => {}
        _ = terminate.recv() => {}
    }
    Ok(())
}
