//! Stand-in of the platform's store, as far as the system reads it.

use {
    crate::{
        base64,
        http_text::{HttpMessage, answer_bytes, read_message},
    },
    std::{
        collections::BTreeMap,
        io::{BufReader, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// Time for which changes can be asked for, `platform.historyS` of the settings.
const HISTORY_TIME: Duration = Duration::from_secs(20);
/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// One change of an item.
struct StoreChange {
    revision: u64,
    at: Instant,
    /// The event as JSON.
    event: String,
}

struct StoreState {
    /// Items as JSON, by key.
    items: BTreeMap<String, String>,
    changes: Vec<StoreChange>,
    revision: u64,
    /// Revision up to which the history is gone.
    forgotten: u64,
}

/// The store; it listens on a loopback address until the process ends.
pub struct StandStore {
    pub address: SocketAddr,
    state: Mutex<StoreState>,
    changed: Condvar,
}

impl StandStore {
    /// Starts an empty store.
    pub fn start() -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Arc::new(Self {
            address: listener.local_addr()?,
            state: Mutex::new(StoreState {
                items: BTreeMap::new(),
                changes: Vec::new(),
                revision: 1,
                forgotten: 0,
            }),
            changed: Condvar::new(),
        });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = Arc::clone(&serving);
                thread::spawn(move || serving.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an item. The return is the confirmation.
    pub fn put(&self, key: &str, value: &str) {
        let value = base64::encode(value.as_bytes());
        let mut state = self.state.lock().expect("no writer panics");
        state.revision += 1;
        let revision = state.revision;
        let event = format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
             \"createRev\":{revision},\"lease\":0}}"
        );
        state.items.insert(key.to_string(), event.clone());
        let at = Instant::now();
        state.changes.push(StoreChange {
            revision,
            at,
            event,
        });
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let answer = self.answer(&request);
            thread::sleep(ANSWER_TIME);
            if writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &HttpMessage) -> Vec<u8> {
        let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
        let (status, body) = match request.path() {
            path if path.starts_with("/v1/kv-range") => (200, self.range()),
            path if path.starts_with("/v1/kv-watch") => self.watch(path),
            _ => (404, String::from("{}")),
        };
        answer_bytes(status, &headers, body.as_bytes())
    }

    fn range(&self) -> String {
        let state = self.state.lock().expect("no writer panics");
        let items: Vec<&str> = state.items.values().map(String::as_str).collect();
        format!(
            "{{\"items\":[{}],\"truncated\":false,\"asOf\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, path: &str) -> (u16, String) {
        let after = query_number(path, "after=");
        let deadline = Instant::now() + Duration::from_millis(query_number(path, "waitMs="));
        let mut state = self.state.lock().expect("no writer panics");
        loop {
            state.forget_old();
            if after < state.forgotten || after > state.revision {
                return (410, String::from("{}"));
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if state.revision > after || left.is_zero() {
                let events = state.changes.iter();
                let events = events.filter(|change| change.revision > after);
                let events: Vec<&str> = events.map(|change| change.event.as_str()).collect();
                let body = format!(
                    "{{\"events\":[{}],\"asOf\":{}}}",
                    events.join(","),
                    state.revision
                );
                return (200, body);
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.expect("no writer panics").0;
        }
    }
}

impl StoreState {
    fn forget_old(&mut self) {
        let old = self.changes.iter();
        let old = old.take_while(|change| change.at.elapsed() > HISTORY_TIME);
        let count = old.count();
        if let Some(last) = self.changes.drain(..count).next_back() {
            self.forgotten = last.revision;
        }
    }
}

fn query_number(path: &str, name: &str) -> u64 {
    let mut pairs = path.split(['?', '&']);
    let found = pairs.find_map(|pair| pair.strip_prefix(name));
    found.and_then(|text| text.parse().ok()).unwrap_or(0)
}
