//! A replica of a service: it runs whole requests, a fixed time each.

use {
    crate::{
        http_text::{HttpMessage, answer_text, read_message},
        run_record::RunRecord,
    },
    std::{
        io::{BufReader, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// Which requests crash the replicas that run them, and what came of it; shared by the replicas of a service.
pub struct CrashRule {
    pub path: &'static str,
    /// Time from the begin of the run to the crash.
    pub delay: Duration,
    /// Times at which such requests reached a replica.
    pub runs: Mutex<Vec<Duration>>,
    /// Times at which a replica crashed.
    pub crashes: Mutex<Vec<Duration>>,
}

/// A replica that listens on loopback.
pub struct StandReplica {
    pub id: String,
    pub address: SocketAddr,
    work: Duration,
    crash_rule: Option<Arc<CrashRule>>,
    record: Arc<RunRecord>,
    /// Times at which requests reached it.
    runs: Mutex<Vec<Duration>>,
    connections: Mutex<Vec<TcpStream>>,
    /// Number of lookups that it runs now.
    running_lookups: AtomicUsize,
    has_ended: AtomicBool,
}

impl StandReplica {
    pub fn start(id: &str, work: Duration, record: &Arc<RunRecord>) -> Arc<Self> {
        Self::start_with(id, work, None, record)
    }

    /// Starts a replica that some requests crash.
    pub fn start_with(
        id: &str,
        work: Duration,
        crash_rule: Option<Arc<CrashRule>>,
        record: &Arc<RunRecord>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a replica");
        let replica = Arc::new(Self {
            id: id.to_string(),
            address: listener.local_addr().expect("a bound socket"),
            work,
            crash_rule,
            record: Arc::clone(record),
            runs: Mutex::default(),
            connections: Mutex::default(),
            running_lookups: AtomicUsize::new(0),
            has_ended: AtomicBool::new(false),
        });
        let serving = Arc::clone(&replica);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                let serving = Arc::clone(&serving);
                thread::spawn(move || serving.serve(stream));
            }
        });
        replica
    }

    /// Returns the replica's entry in the store.
    pub fn store_entry(&self, service: &str, state: &str) -> String {
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"lakes-a","version":"v1","slots":6,"state":"{state}","coldLeftMs":0,"sequence":4,"born":1765000000000}}"#,
            self.address
        )
    }

    /// Returns the times at which requests reached the replica.
    pub fn runs(&self) -> Vec<Duration> {
        self.runs.lock().expect("the runs").clone()
    }

    /// Returns true if the replica runs a lookup now.
    pub fn runs_lookup(&self) -> bool {
        self.running_lookups.load(Ordering::SeqCst) > 0
    }

    /// Returns true if the replica has ended.
    pub fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::SeqCst)
    }

    /// Ends the replica like a process that exits: its connections close.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        self.record.note(&format!("replica {}: exits", self.id));
        for connection in self.connections.lock().expect("the connections").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        // The listener sees that it has ended.
        let _ = TcpStream::connect(self.address);
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (Ok(mut writer), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        self.connections.lock().expect("the connections").push(kept);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            if self.has_ended.load(Ordering::SeqCst) {
                return;
            }
            let answer = self.answer(&request);
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &HttpMessage) -> String {
        let path = request.path();
        if path == "/health" {
            return answer_text("200 OK", &[("X-Instance-Id", &self.id)], "");
        }
        if path == "/v1/report" {
            let report =
                r#"{"stage":"colocated","busy":false,"queued":0,"running":0,"born":1765000000000}"#;
            return answer_text("200 OK", &[("Content-Type", "application/json")], report);
        }
        let id = request
            .header("x-request-id")
            .unwrap_or_default()
            .to_string();
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = [("X-Request-Id", id.as_str()), ("X-Not-Executed", "1")];
            return answer_text("421 Misdirected Request", &headers, "");
        }
        let at = self
            .record
            .note(&format!("replica {}: runs request {id}", self.id));
        self.runs.lock().expect("the runs").push(at);
        if let Some(rule) = self.crash_rule.as_ref().filter(|rule| rule.path == path) {
            rule.runs.lock().expect("the runs").push(at);
            thread::sleep(rule.delay);
            if !self.has_ended.swap(true, Ordering::SeqCst) {
                let at = self
                    .record
                    .note(&format!("replica {}: crashes under {id}", self.id));
                rule.crashes.lock().expect("the crashes").push(at);
            }
            self.end();
            return String::new();
        }
        let is_lookup = request.start.starts_with("GET");
        self.running_lookups
            .fetch_add(usize::from(is_lookup), Ordering::SeqCst);
        thread::sleep(self.work);
        self.running_lookups
            .fetch_sub(usize::from(is_lookup), Ordering::SeqCst);
        let headers = [
            ("X-Request-Id", id.as_str()),
            ("X-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"),
        ];
        answer_text("200 OK", &headers, &format!("done by {}", self.id))
    }
}
