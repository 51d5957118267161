//! Sends orders to engines: it runs beside an entry and takes sheet and live hosts from it.

mod engine_client;
mod entry_reader;
mod http_reader;
mod operator_server;
mod order_loop;
mod placer_settings;
mod placer_state;

use {
    crate::{
        entry_reader::EntryReader, operator_server::answer_operator, order_loop::OrderLoop,
        placer_settings::PlacerSettings, placer_state::PlacerState,
    },
    setup::{HttpLimits, LogOutput, ReadyLine, open_log, serve_http},
    std::{process::ExitCode, rc::Rc},
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
    setup::exit_code(start(&args))
}

fn start(args: &PlacerArgs) -> anyhow::Result<()> {
    let settings: PlacerSettings = setup::load_settings(&args.settings)?;
    settings.check(&args.settings)?;
    actix_rt::System::new().block_on(run(settings))
}

/// Runs until the process is told to terminate. An order that is on its way then needs no care:
/// it states a whole wanted state, and the next owner reads the engine first.
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
    let state = Rc::new(PlacerState::open(settings, log)?);
    let (_closing, closing) = watch::channel(false);
    let (events, incoming) = mpsc::unbounded_channel();
    ready.print()?;
    let answering = Rc::clone(&state);
    let handler = move |request| {
        let reply = answer_operator(&answering, &request);
        async move { reply }
    };
    tokio::select! {
        () = serve_http(listener, HttpLimits::default(), closing, handler) => {}
        () = EntryReader::new(Rc::clone(&state), events.clone()).run() => {}
        () = OrderLoop::new(Rc::clone(&state), events).run(incoming) => {}
        _ = terminate.recv() => {}
    }
    Ok(())
}
