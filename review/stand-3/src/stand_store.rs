//! The platform's store, for reading: pages of items and watches.

use {
    crate::{
        base64,
        http_text::{HttpMessage, answer_text, read_message},
        run_record::RunRecord,
    },
    std::{
        collections::BTreeMap,
        io::{BufReader, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// Number of items that one page holds at most.
const PAGE_ITEMS: usize = 500;

/// What the store holds.
#[derive(Clone, Default)]
pub struct StoreState {
    revision: u64,
    /// JSON of the live items, by key.
    items: BTreeMap<String, String>,
    /// JSON of all changes, with their revisions.
    changes: Vec<(u64, String)>,
    /// Number of times that the waiting watches were cut.
    cut_count: usize,
    /// Number of times that the store came back from an older copy.
    era: u64,
    is_away: bool,
}

/// A store that listens on loopback.
#[derive(Clone)]
pub struct StandStore {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
    record: Arc<RunRecord>,
}

impl StandStore {
    pub fn start(record: &Arc<RunRecord>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let state = StoreState {
            revision: 400,
            ..StoreState::default()
        };
        let store = Self {
            address: listener.local_addr().expect("a bound socket"),
            state: Arc::new((Mutex::new(state), Condvar::new())),
            record: Arc::clone(record),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                // A connection that fails ends alone.
                thread::spawn(move || serving.serve(stream));
            }
        });
        store
    }

    /// Writes an item; the store has confirmed it once this returns.
    pub fn put(&self, key: &str, value: &str) -> Duration {
        self.change(key, Some(value))
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) -> Duration {
        self.change(key, None)
    }

    /// Closes the connections of all watches that wait now.
    pub fn cut_waiting_watches(&self) {
        let (state, changed) = &*self.state;
        state.lock().expect("the state").cut_count += 1;
        self.record.note("store: cuts the waiting watches");
        changed.notify_all();
    }

    /// Returns a copy of what the store holds now.
    pub fn copy(&self) -> StoreState {
        self.state.0.lock().expect("the state").clone()
    }

    /// From now on no call is answered.
    pub fn go_away(&self) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the state");
        state.is_away = true;
        state.cut_count += 1;
        changed.notify_all();
        self.record.note("store: away");
    }

    /// The store is back from an older copy, in a new era.
    pub fn come_back(&self, copy: StoreState) {
        let mut state = self.state.0.lock().expect("the state");
        let (era, cut_count) = (state.era + 1, state.cut_count);
        let revision = copy.revision;
        *state = StoreState {
            era,
            cut_count,
            ..copy
        };
        self.record
            .note(&format!("store: back in era {era} at revision {revision}"));
    }

    fn change(&self, key: &str, value: Option<&str>) -> Duration {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the state");
        state.revision += 1;
        let revision = state.revision;
        let text = match value {
            Some(value) => format!(
                r#"{{"key":"{key}","value":"{}","revision":{revision},"createRev":{revision},"lease":0}}"#,
                base64::encode(value)
            ),
            None => format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#),
        };
        match value {
            Some(_) => state.items.insert(key.to_string(), text.clone()),
            None => state.items.remove(key),
        };
        state.changes.push((revision, text));
        changed.notify_all();
        let what = value.map_or("removed", |_| "written");
        self.record
            .note(&format!("store: {key} {what}, revision {revision}"))
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let body = match request.path().starts_with("/v1/kv-watch") {
                true => self.watch(&request),
                false => Some(self.page(&request)),
            };
            let (Some(body), Some(era)) = (body, self.answering_era()) else {
                let _ = writer.shutdown(Shutdown::Both);
                return;
            };
            let status = match body.is_empty() {
                true => "410 Gone",
                false => "200 OK",
            };
            let headers = [
                ("Content-Type", "application/json"),
                ("Store-Era", era.as_str()),
            ];
            let answer = answer_text(status, &headers, &body);
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns the era as the answers name it; `None` while the store is away.
    fn answering_era(&self) -> Option<String> {
        let state = self.state.0.lock().expect("the state");
        (!state.is_away).then(|| state.era.to_string())
    }

    fn page(&self, request: &HttpMessage) -> String {
        let after = query_value(request.path(), "after").unwrap_or_default();
        let state = self.state.0.lock().expect("the state");
        let items = state.items.iter().filter(|(key, _)| **key > after);
        let items: Vec<&str> = items.map(|(_, item)| item.as_str()).collect();
        let truncated = items.len() > PAGE_ITEMS;
        let items = items[..items.len().min(PAGE_ITEMS)].join(",");
        format!(
            r#"{{"items":[{items}],"truncated":{truncated},"asOf":{}}}"#,
            state.revision
        )
    }

    /// Returns the answer to a watch: `None` if it is cut, and nothing if it begins at a revision that the
    /// store does not have.
    fn watch(&self, request: &HttpMessage) -> Option<String> {
        let number = |name| query_value(request.path(), name)?.parse::<u64>().ok();
        let after = number("after").unwrap_or(0);
        let begun_at = Instant::now();
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the state");
        let cut_count = state.cut_count;
        if after > state.revision {
            return Some(String::new());
        }
        loop {
            let events = state
                .changes
                .iter()
                .filter(|(revision, _)| *revision > after);
            let events: Vec<&str> = events.map(|(_, event)| event.as_str()).collect();
            let waited = begun_at.elapsed();
            if !events.is_empty() || waited >= wait {
                let events = events.join(",");
                return Some(format!(
                    r#"{{"events":[{events}],"asOf":{}}}"#,
                    state.revision
                ));
            }
            if state.cut_count > cut_count {
                return None;
            }
            let waiting = changed.wait_timeout(state, wait - waited);
            state = waiting.expect("the state").0;
        }
    }
}

fn query_value(path: &str, name: &str) -> Option<String> {
    let (_, query) = path.split_once('?')?;
    let mut pairs = query.split('&');
    let value = pairs.find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
    Some(value.replace("%3A", ":"))
}
