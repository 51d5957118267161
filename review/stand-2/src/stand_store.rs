//! A stand-in of the platform's store, as PROTOCOL.md tells it: reads, pages that hold everything,
//! watches, and the return from an older copy.

use {
    crate::{
        base64,
        http_text::{MessageHead, message},
    },
    std::{
        collections::BTreeMap,
        io::{self, BufReader, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
        thread,
        time::{Duration, Instant},
    },
};

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Revision before the first change.
const FIRST_REVISION: u64 = 100;

/// A value with the revisions of its last change and of its creation.
#[derive(Clone)]
struct StoredValue {
    value: Vec<u8>,
    revision: u64,
    created: u64,
}

/// A change, as a watch tells it.
#[derive(Clone)]
struct StoredChange {
    revision: u64,
    text: String,
}

/// All that the store holds; a copy of it can be restored.
#[derive(Clone)]
pub struct StoreCopy {
    revision: u64,
    values: BTreeMap<String, StoredValue>,
    history: Vec<StoredChange>,
}

struct StoreState {
    contents: StoreCopy,
    era: u64,
    /// Counts the outages: calls that were under way when one began get no answer.
    outages: u64,
    is_away: bool,
}

/// The store.
pub struct StandStore {
    pub address: SocketAddr,
    state: Mutex<StoreState>,
    changed: Condvar,
}

impl StandStore {
    /// Starts an empty store.
    pub fn start() -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Arc::new(Self {
            address: listener.local_addr()?,
            state: Mutex::new(StoreState {
                contents: StoreCopy {
                    revision: FIRST_REVISION,
                    values: BTreeMap::new(),
                    history: Vec::new(),
                },
                era: 1,
                outages: 0,
                is_away: false,
            }),
            changed: Condvar::new(),
        });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a value; the return is the confirmation.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.lock();
        let contents = &mut state.contents;
        contents.revision += 1;
        let revision = contents.revision;
        let known = contents.values.get(key);
        let stored = StoredValue {
            value: value.as_bytes().to_vec(),
            revision,
            created: known.map_or(revision, |known| known.created),
        };
        let text = item_text(key, &stored);
        contents.values.insert(key.to_string(), stored);
        contents.history.push(StoredChange { revision, text });
        self.changed.notify_all();
    }

    /// Removes a value, as the store does once its writer has been silent for three heartbeats.
    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        let contents = &mut state.contents;
        contents.revision += 1;
        let revision = contents.revision;
        contents.values.remove(key);
        let text = format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}");
        contents.history.push(StoredChange { revision, text });
        self.changed.notify_all();
    }

    /// Returns a copy of what the store holds now.
    pub fn copy(&self) -> StoreCopy {
        self.lock().contents.clone()
    }

    /// Answers nothing from now on.
    pub fn go_away(&self) {
        let mut state = self.lock();
        state.is_away = true;
        state.outages += 1;
        self.changed.notify_all();
    }

    /// Comes back with the contents of the copy, in the next era.
    pub fn come_back_from(&self, copy: StoreCopy) {
        let mut state = self.lock();
        state.contents = copy;
        state.era += 1;
        state.is_away = false;
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        // A connection that breaks is the other side's to open again.
        let _ = self.serve_calls(stream);
    }

    fn serve_calls(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        while let Some(head) = MessageHead::read(&mut reader)? {
            thread::sleep(ANSWER_TIME);
            let Some(answer) = self.answer(&head) else {
                // Nothing further comes on this connection.
                let mut rest = Vec::new();
                io::Read::read_to_end(&mut reader, &mut rest)?;
                return Ok(());
            };
            writer.write_all(&answer)?;
        }
        Ok(())
    }

    /// Returns the answer; `None` if the store is away.
    fn answer(&self, head: &MessageHead) -> Option<Vec<u8>> {
        let state = self.lock();
        if state.is_away {
            return None;
        }
        let target = head.word(1);
        let path = target.split('?').next().unwrap_or_default();
        match path {
            "/v1/kv-range" => Some(reply(&state, "200 OK", &range_body(&state, head))),
            "/v1/kv-watch" => self.answer_watch(state, head),
            _ => Some(reply(&state, "404 Not Found", "{}")),
        }
    }

    fn answer_watch(
        &self,
        mut state: MutexGuard<'_, StoreState>,
        head: &MessageHead,
    ) -> Option<Vec<u8>> {
        let number = |name| head.query(name).and_then(|text| text.parse::<u64>().ok());
        let after = number("after").unwrap_or(0);
        let due = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let (era, outages) = (state.era, state.outages);
        if after > state.contents.revision || after < FIRST_REVISION {
            return Some(reply(&state, "410 Gone", "{}"));
        }
        loop {
            if state.is_away || state.outages != outages || state.era != era {
                return None;
            }
            let events = changes_after(&state.contents, after);
            let time_left = due.saturating_duration_since(Instant::now());
            if !events.is_empty() || time_left.is_zero() {
                let events = events.join(",");
                let revision = state.contents.revision;
                let body = format!("{{\"events\":[{events}],\"asOf\":{revision}}}");
                return Some(reply(&state, "200 OK", &body));
            }
            let waited = self.changed.wait_timeout(state, time_left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn item_text(key: &str, stored: &StoredValue) -> String {
    let StoredValue {
        value,
        revision,
        created,
    } = stored;
    let value = base64::encode(value);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
         \"createRev\":{created},\"lease\":0}}"
    )
}

fn range_body(state: &StoreState, head: &MessageHead) -> String {
    let contents = &state.contents;
    let prefix = head.query("prefix").unwrap_or_default();
    let values = contents.values.iter();
    let values = values.filter(|(key, _)| key.starts_with(prefix));
    let items: Vec<String> = values.map(|(key, stored)| item_text(key, stored)).collect();
    let (items, revision) = (items.join(","), contents.revision);
    format!("{{\"items\":[{items}],\"truncated\":false,\"asOf\":{revision}}}")
}

fn changes_after(contents: &StoreCopy, revision: u64) -> Vec<String> {
    let changes = contents.history.iter();
    let changes = changes.filter(|change| change.revision > revision);
    changes.map(|change| change.text.clone()).collect()
}

fn reply(state: &StoreState, status: &str, body: &str) -> Vec<u8> {
    let era = state.era.to_string();
    let headers = [
        ("Content-Type", "application/json"),
        ("Store-Era", era.as_str()),
    ];
    message(&format!("HTTP/1.1 {status}"), &headers, body.as_bytes())
}
