#![allow(dead_code)]

use {
    actix_http::{HttpMessage, Method, Request, StatusCode},
    order::{EngineOrder, EngineState},
    serde_json::json,
    setup::{HttpLimits, HttpReply, ReadyLine, json_reply, read_body, serve_http, text_reply},
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

/// Longest wait for a state that must come.
pub const LIMIT: Duration = Duration::from_secs(20);

/// What the platform around the placers is like; tests change it.
#[derive(Default)]
pub struct Surroundings {
    pub hosts: Vec<String>,
    pub sheet: Option<SheetBundle>,
    pub engines: Vec<EngineState>,
    /// True if the engines refuse orders that are not above the last one.
    pub checks_orders: bool,
    /// Orders that engines obeyed.
    pub obeyed: Vec<(usize, EngineOrder)>,
    /// Latest version that a placer told the entry of.
    pub told_version: u64,
}

/// One HTTP server that stands for an entry and all engines; engine `n` has a port of its own.
pub struct FakeFleet {
    pub shared: Arc<Mutex<Surroundings>>,
    pub entry: String,
    pub engines: Vec<String>,
    _stop: oneshot::Sender<()>,
}

impl FakeFleet {
    pub fn start(engines: usize, checks_orders: bool) -> Self {
        let shared = Arc::new(Mutex::new(Surroundings {
            engines: vec![EngineState::default(); engines],
            checks_orders,
            ..Surroundings::default()
        }));
        let (stop, stopped) = oneshot::channel::<()>();
        let (sender, receiver) = mpsc::channel();
        let serving = Arc::clone(&shared);
        thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let (_closing, closing) = watch::channel(false);
                for place in 0..=engines {
                    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                    sender
                        .send(listener.local_addr().unwrap().to_string())
                        .unwrap();
                    let shared = Arc::clone(&serving);
                    let handler = move |request| answer(Arc::clone(&shared), place, request);
                    let limits = HttpLimits::default();
                    actix_rt::spawn(serve_http(listener, limits, closing.clone(), handler));
                }
                let _ = stopped.await;
            });
        });
        let mut addresses = (0..=engines).map(|_| receiver.recv().unwrap());
        let entry = addresses.next().unwrap();
        Self {
            shared,
            entry,
            engines: addresses.collect(),
            _stop: stop,
        }
    }

    /// Puts a sheet in force in which every engine should run `m@{version}`.
    pub fn publish(&self, version: u64) {
        let checks_orders = self.shared.lock().unwrap().checks_orders;
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
        self.shared.lock().unwrap().sheet = Some(SheetBundle { index, parts });
    }

    /// Waits until something holds.
    pub fn wait_until(&self, what: &str, holds: impl Fn(&Surroundings) -> bool) {
        let end = Instant::now() + LIMIT;
        while !holds(&self.shared.lock().unwrap()) {
            assert!(Instant::now() < end, "{what}: not within {LIMIT:?}");
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until every engine runs what the sheet of this version wants.
    pub fn wait_for_version(&self, version: u64) {
        let models = [format!("m@{version}")];
        self.wait_until(&format!("sheet {version} on all engines"), |seen| {
            let mut engines = seen.engines.iter();
            engines.all(|state| state.models == models && state.sheet_version == version)
        });
    }
}

async fn answer(shared: Arc<Mutex<Surroundings>>, place: usize, mut request: Request) -> HttpReply {
    let body = read_body(request.take_payload(), 1 << 20, LIMIT).await;
    let mut seen = shared.lock().unwrap();
    let told = request.headers().get(base::SHEET_HEADER);
    let told = told.and_then(|value| value.to_str().ok()?.parse().ok());
    seen.told_version = seen.told_version.max(told.unwrap_or_default());
    match (request.method().clone(), request.path(), place) {
        (Method::GET, "/status", 0) => {
            let version = seen.sheet.as_ref().map_or(0, |sheet| sheet.index.version);
            json_reply(
                StatusCode::OK,
                &json!({ "sheet_version": version, "hosts": seen.hosts }),
            )
        }
        (Method::GET, "/sheet", 0) => json_reply(StatusCode::OK, &seen.sheet),
        (Method::GET, "/engine", 1..) => json_reply(StatusCode::OK, &seen.engines[place - 1]),
        (Method::POST, "/engine/order", 1..) => {
            let order = serde_json::from_slice(&body.unwrap_or_default()).unwrap();
            let status = if obey(&mut seen, place - 1, order) {
                StatusCode::OK
            } else {
                StatusCode::CONFLICT
            };
            json_reply(status, &seen.engines[place - 1])
        }
        _ => text_reply(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn obey(seen: &mut Surroundings, place: usize, order: EngineOrder) -> bool {
    let state = &mut seen.engines[place];
    if seen.checks_orders && order.fence <= state.fence {
        return false;
    }
    state.fence = state.fence.max(order.fence);
    state.models.clone_from(&order.models);
    state.role.clone_from(&order.role);
    state.sheet_version = order.sheet_version;
    seen.obeyed.push((place, order));
    true
}

/// A placer process; killed when dropped.
pub struct Placer {
    pub child: Child,
    pub operators: String,
}

impl Placer {
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

    /// Sends a signal to the process.
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
