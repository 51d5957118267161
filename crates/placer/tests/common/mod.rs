//! A fake entry with fake engines, and placer processes, for the tests of the placer.
#![allow(dead_code)]

use {
    actix_http::{HttpMessage, Method, Request, StatusCode},
    order::{EngineOrder, EngineState},
    room::ClientRoom,
    serde_json::json,
    setup::{
        HttpLimits, HttpReply, ReadyLine, RequestBody, json_reply, read_body, serve_http,
        text_reply,
    },
    sheet::{IndexPart, SheetBundle, SheetIndex},
    std::{
        fs,
        io::{BufRead, BufReader},
        path::Path,
        process::{Child, Command, Stdio},
        sync::{Arc, Mutex, mpsc},
        thread,
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpListener,
        sync::{oneshot, watch},
    },
};

/// Room for the connections of a fake.
const ROOM_BYTES: usize = 16_000_000;

/// Time within which an awaited condition must hold, and a request body arrive.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// State of the fake entry and the fake engines; tests change it while placers run.
#[derive(Default)]
pub struct FakeFleetState {
    /// Hosts that the entry reports as live.
    pub hosts: Vec<String>,
    /// Sheet that the entry has in force.
    pub sheet: Option<SheetBundle>,
    pub engines: Vec<EngineState>,
    /// True if the engines refuse orders whose fencing token is not above the last one.
    pub checks_orders: bool,
    /// Orders that engines applied, with the index of the engine, in the order of arrival.
    pub applied_orders: Vec<(usize, EngineOrder)>,
    /// Latest sheet version that a placer reported to the entry, 0 if none.
    pub reported_version: u64,
}

/// HTTP servers on one thread that stand for an entry and its engines, each at its own port; they
/// stop when this is dropped.
pub struct FakeFleet {
    pub state: Arc<Mutex<FakeFleetState>>,
    /// Address of the entry, `ip:port`.
    pub entry: String,
    /// Addresses of the engines, `ip:port`.
    pub engines: Vec<String>,
    _stop: oneshot::Sender<()>,
}

impl FakeFleet {
    pub fn start(engine_count: usize, checks_orders: bool) -> Self {
        let state = Arc::new(Mutex::new(FakeFleetState {
            engines: vec![EngineState::default(); engine_count],
            checks_orders,
            ..FakeFleetState::default()
        }));
        let (stop, stopped) = oneshot::channel::<()>();
        let (address_sender, addresses) = mpsc::channel();
        let server_state = Arc::clone(&state);
        thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let (_closing_sender, closing) = watch::channel(false);
                for server_index in 0..=engine_count {
                    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                    address_sender
                        .send(listener.local_addr().unwrap().to_string())
                        .unwrap();
                    let state = Arc::clone(&server_state);
                    let handler = move |request| answer(Arc::clone(&state), server_index, request);
                    let limits = HttpLimits::default();
                    actix_rt::spawn(serve_http(
                        listener,
                        limits,
                        ClientRoom::new(ROOM_BYTES),
                        closing.clone(),
                        handler,
                    ));
                }
                let _ = stopped.await;
            });
        });
        let mut addresses = (0..=engine_count).map(|_| addresses.recv().unwrap());
        let entry = addresses.next().unwrap();
        Self {
            state,
            entry,
            engines: addresses.collect(),
            _stop: stop,
        }
    }

    /// Puts a sheet in force at the entry that wants every engine to run `m@{version}`.
    pub fn publish(&self, version: u64) {
        let checks_orders = self.state.lock().unwrap().checks_orders;
        let mut text = String::from(
            "[[pipeline]]\nname = \"p\"\ndeadline = \"1s\"\n\
             stage = [{ pool = \"engines\", call = \"generate\", expected = \"9ms\" }]\n\
             [[pool]]\nname = \"engines\"\nkind = \"engine\"\n",
        );
        for (number, address) in self.engines.iter().enumerate() {
            text.push_str(&format!(
                "[[target]]\nname = \"e{number}\"\npool = \"engines\"\ndata_centre = \"erie\"\n\
                 address = \"{address}\"\ncapacity = 4\nmodels = [\"m@{version}\"]\n\
                 checks_orders = {checks_orders}\n"
            ));
        }
        let part = IndexPart {
            key: String::from("fleet"),
            digest: SheetIndex::part_digest(&text),
        };
        let index = SheetIndex {
            version,
            part: vec![part],
        };
        let parts = vec![text];
        self.state.lock().unwrap().sheet = Some(SheetBundle { index, parts });
    }

    /// Waits until a condition holds; panics after [`WAIT_TIMEOUT`].
    pub fn wait_until(&self, condition: &str, is_met: impl Fn(&FakeFleetState) -> bool) {
        let end = Instant::now() + WAIT_TIMEOUT;
        while !is_met(&self.state.lock().unwrap()) {
            assert!(
                Instant::now() < end,
                "{condition}: not within {WAIT_TIMEOUT:?}"
            );
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until every engine is in the state that the sheet of this version wants.
    pub fn wait_for_version(&self, version: u64) {
        let models = [format!("m@{version}")];
        self.wait_until(&format!("sheet {version} on all engines"), |fleet| {
            let mut engines = fleet.engines.iter();
            engines.all(|engine| engine.models == models && engine.sheet_version == version)
        });
    }
}

/// Answers a request to one of the servers: 0 is the entry, `n` the engine with index `n - 1`.
async fn answer(
    state: Arc<Mutex<FakeFleetState>>,
    server_index: usize,
    mut request: Request,
) -> HttpReply {
    let body = read_body(&mut RequestBody::take(&mut request), 1 << 20, WAIT_TIMEOUT).await;
    let mut fleet = state.lock().unwrap();
    let reported = request.headers().get(base::SHEET_HEADER);
    let reported = reported.and_then(|value| value.to_str().ok()?.parse().ok());
    fleet.reported_version = fleet.reported_version.max(reported.unwrap_or_default());
    match (request.method().clone(), request.path(), server_index) {
        (Method::GET, "/status", 0) => {
            let version = fleet.sheet.as_ref().map_or(0, |sheet| sheet.index.version);
            json_reply(
                StatusCode::OK,
                &json!({ "sheet_version": version, "hosts": fleet.hosts }),
            )
        }
        (Method::GET, "/sheet", 0) => json_reply(StatusCode::OK, &fleet.sheet),
        (Method::GET, "/engine", 1..) => {
            json_reply(StatusCode::OK, &fleet.engines[server_index - 1])
        }
        (Method::POST, "/engine/order", 1..) => {
            let order = serde_json::from_slice(&body.unwrap_or_default()).unwrap();
            let status = if apply_order(&mut fleet, server_index - 1, order) {
                StatusCode::OK
            } else {
                StatusCode::CONFLICT
            };
            json_reply(status, &fleet.engines[server_index - 1])
        }
        _ => text_reply(StatusCode::NOT_FOUND, "no such path"),
    }
}

/// Applies an order to an engine; returns false if the engine refuses it.
fn apply_order(fleet: &mut FakeFleetState, engine_index: usize, order: EngineOrder) -> bool {
    let state = &mut fleet.engines[engine_index];
    if fleet.checks_orders && order.fence <= state.fence {
        return false;
    }
    state.fence = state.fence.max(order.fence);
    state.models.clone_from(&order.models);
    state.role.clone_from(&order.role);
    state.sheet_version = order.sheet_version;
    fleet.applied_orders.push((engine_index, order));
    true
}

/// A placer process; killed when dropped.
pub struct Placer {
    pub child: Child,
    /// Address of its operators' interface, `ip:port`.
    pub operators: String,
}

impl Placer {
    /// Starts a placer with its settings file in `folder`, beside the entry at `entry`.
    pub fn start(folder: &Path, host: &str, entry: &str) -> Self {
        let path = folder.join(format!("{host}.toml"));
        let text = format!(
            "host = \"{host}\"\nlisten = \"127.0.0.1:0\"\nentry = \"{entry}\"\n\
             [orders]\nlease = \"600ms\"\nread_period = \"200ms\"\nrepair_pause = \"500ms\"\n\
             loads_per_second = 50.0\n"
        );
        fs::write(&path, text).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_camphor-placer"))
            .arg("--settings")
            .arg(path)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let output = child.stdout.take().unwrap();
        BufReader::new(output).read_line(&mut line).unwrap();
        let ready: ReadyLine = serde_json::from_str(&line).unwrap();
        Self {
            child,
            operators: ready.addresses["operators"].clone(),
        }
    }

    /// Sends a signal to the process, named as in `kill -s`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill")
            .args(["-s", name, &id])
            .status()
            .unwrap();
        assert!(status.success());
    }
}

impl Drop for Placer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
