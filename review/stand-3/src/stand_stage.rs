//! A replica of a stage: it makes results of pieces, one call after the other.

use {
    crate::{
        http_text::{HttpMessage, answer_text, read_message},
        run_record::RunRecord,
        stand_replica::CrashRule,
    },
    std::{
        io::{self, BufReader, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// Time of a call.
const CALL_TIME: Duration = Duration::from_millis(220);

/// Number of the next result of all replicas.
static NEXT_RESULT: AtomicU64 = AtomicU64::new(1);

/// A stage replica that listens on loopback.
pub struct StandStage {
    pub id: String,
    pub address: SocketAddr,
    /// Calls with a piece whose key is the rule's path crash the replica.
    crash_rule: Arc<CrashRule>,
    record: Arc<RunRecord>,
    connections: Mutex<Vec<TcpStream>>,
    has_ended: AtomicBool,
    /// Held by the call that is worked on.
    working: Mutex<()>,
}

impl StandStage {
    pub fn start(id: &str, crash_rule: &Arc<CrashRule>, record: &Arc<RunRecord>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a replica");
        let stage = Arc::new(Self {
            id: id.to_string(),
            address: listener.local_addr().expect("a bound socket"),
            crash_rule: Arc::clone(crash_rule),
            record: Arc::clone(record),
            connections: Mutex::default(),
            has_ended: AtomicBool::new(false),
            working: Mutex::default(),
        });
        let serving = Arc::clone(&stage);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.has_ended() {
                    return;
                }
                let serving = Arc::clone(&serving);
                // A connection that fails ends alone.
                thread::spawn(move || serving.serve(stream));
            }
        });
        stage
    }

    /// Returns the replica's entry in the store.
    pub fn store_entry(&self, service: &str) -> String {
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"lakes-a","version":"v1","slots":1,"state":"ready","coldLeftMs":0,"sequence":4,"born":1765000000000}}"#,
            self.address
        )
    }

    /// Returns true if the replica has ended.
    pub fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::SeqCst)
    }

    /// Ends the replica like a process that crashes.
    fn crash(&self) {
        if self.has_ended.swap(true, Ordering::SeqCst) {
            return;
        }
        let at = self
            .record
            .note(&format!("stage replica {}: crashes", self.id));
        self.crash_rule
            .crashes
            .lock()
            .expect("the crashes")
            .push(at);
        for connection in self.connections.lock().expect("the connections").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        // The listener sees that it has ended.
        let _ = TcpStream::connect(self.address);
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        self.connections
            .lock()
            .expect("the connections")
            .push(stream.try_clone()?);
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader)? {
            let Some(answer) = self.answer(&request) else {
                return Ok(());
            };
            writer.write_all(answer.as_bytes())?;
        }
        Ok(())
    }

    /// Returns the answer to a call; `None` if the replica has crashed.
    fn answer(&self, request: &HttpMessage) -> Option<String> {
        let id = request.header("x-request-id").unwrap_or_default();
        let headers = [("X-Request-Id", id), ("Content-Type", "application/json")];
        if request.path() != "/v1/stage-run" {
            let report = r#"{"queued":0,"busy":false,"freeMb":18,"born":1765000000000}"#;
            return Some(answer_text("200 OK", &headers, report));
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let count = body.matches("\"id\":").count();
        let _working = self.working.lock().ok()?;
        if self.has_ended() {
            return None;
        }
        let at = self
            .record
            .note(&format!("stage replica {}: runs {body}", self.id));
        if body.contains(&format!("\"{}\"", self.crash_rule.path)) {
            self.crash_rule.runs.lock().expect("the runs").push(at);
            thread::sleep(self.crash_rule.delay);
            self.crash();
            return None;
        }
        thread::sleep(CALL_TIME);
        let items = (0..count).map(|_| {
            let number = NEXT_RESULT.fetch_add(1, Ordering::SeqCst);
            format!(r#"{{"handle":"{}/{number:012x}"}}"#, self.address)
        });
        let items: Vec<String> = items.collect();
        Some(answer_text(
            "200 OK",
            &headers,
            &format!(r#"{{"items":[{}]}}"#, items.join(",")),
        ))
    }
}
