//! A stand-in of a replica of a stage's service, as PROTOCOL.md tells it: it makes the pieces of a call
//! and frees results. It can crash for good.

use {
    crate::{
        http_text::{MessageHead, message, read_body},
        run_record::RunRecord,
        stand_store::StandStore,
    },
    std::{
        collections::BTreeSet,
        io::{self, BufReader, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// Time after the last heartbeat at which the store removes the entry: three intervals.
const LAPSE_TIME: Duration = Duration::from_millis(3_600);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);

/// Names of the results that exist, each with the address of its maker.
static LIVE_RESULTS: Mutex<BTreeSet<String>> = Mutex::new(BTreeSet::new());

/// Returns true if a result exists.
pub fn is_live(name: &str) -> bool {
    LIVE_RESULTS
        .lock()
        .is_ok_and(|results| results.contains(name))
}

/// The replica.
pub struct StageReplica {
    pub address: SocketAddr,
    id: String,
    service: String,
    call_time: Duration,
    record: Arc<RunRecord>,
    has_crashed: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl StageReplica {
    /// Starts the replica and registers it in the store; a call takes `call_time`.
    pub fn start(
        (service, number): (&str, u32),
        call_time: Duration,
        store: &Arc<StandStore>,
        record: &Arc<RunRecord>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let replica = Arc::new(Self {
            address: listener.local_addr()?,
            id: format!("i-{service}-{number}"),
            service: service.to_string(),
            call_time,
            record: Arc::clone(record),
            has_crashed: AtomicBool::new(false),
            streams: Mutex::default(),
        });
        let serving = Arc::clone(&replica);
        thread::spawn(move || serving.accept(&listener));
        let (beating, store) = (Arc::clone(&replica), Arc::clone(store));
        beating.register(&store, 0);
        thread::spawn(move || beating.beat(&store));
        Ok(replica)
    }

    /// Crashes for good: its results are gone, and its address is free.
    pub fn crash(&self) {
        self.has_crashed.store(true, Ordering::SeqCst);
        let address = self.address.to_string();
        if let Ok(mut results) = LIVE_RESULTS.lock() {
            results.retain(|name| !name.starts_with(&address));
        }
        for stream in self
            .streams
            .lock()
            .iter()
            .flat_map(|streams| streams.iter())
        {
            // It may have ended before.
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.note(format!("{} crashes", self.id));
    }

    fn has_crashed(&self) -> bool {
        self.has_crashed.load(Ordering::SeqCst)
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        while !self.has_crashed() {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_INTERVAL);
                continue;
            };
            let copy = stream.try_clone();
            if let (Ok(mut streams), Ok(copy)) = (self.streams.lock(), copy) {
                streams.push(copy);
            }
            let replica = Arc::clone(self);
            // A connection that breaks ends the call that it carries.
            thread::spawn(move || drop(replica.serve(stream)));
        }
    }

    fn beat(&self, store: &StandStore) {
        for sequence in 1.. {
            thread::sleep(HEARTBEAT_INTERVAL);
            if self.has_crashed() {
                break;
            }
            self.register(store, sequence);
        }
        // One interval has passed since the last heartbeat.
        thread::sleep(LAPSE_TIME.saturating_sub(HEARTBEAT_INTERVAL));
        store.remove(&format!("servers/{}", self.id));
        self.record.note(format!("the entry of {} lapses", self.id));
    }

    fn register(&self, store: &StandStore, sequence: u32) {
        let Self {
            address,
            id,
            service,
            ..
        } = self;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"north\",\
             \"version\":\"v1\",\"slots\":1,\"state\":\"ready\",\"coldLeftMs\":0,\
             \"sequence\":{sequence},\"born\":1}}"
        );
        store.put(&format!("servers/{id}"), &entry);
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        while let Some(head) = MessageHead::read(&mut reader)? {
            let mut body = String::new();
            read_body(&head, &mut reader, |part, _| {
                body.push_str(&String::from_utf8_lossy(part));
            })?;
            let call = head.header("x-request-id").unwrap_or_default();
            let answer = match head.word(1) {
                "/v1/stage-run" => self.make_pieces(&body),
                _ => String::from("{\"queued\":0,\"busy\":0,\"freeMb\":18,\"born\":1}"),
            };
            let headers = [
                ("X-Request-Id", call),
                ("X-Server-Load", "0,0,1"),
                ("Content-Type", "application/json"),
            ];
            writer.write_all(&message("HTTP/1.1 200 OK", &headers, answer.as_bytes()))?;
        }
        Ok(())
    }

    /// Returns the answer to a call with an item for each `"id"` in its body.
    fn make_pieces(&self, body: &str) -> String {
        let count = body.matches("\"id\"").count();
        self.record
            .note(format!("{} works on {count} pieces", self.id));
        thread::sleep(self.call_time);
        let mut items = Vec::new();
        if let Ok(mut results) = LIVE_RESULTS.lock() {
            for _ in 0..count {
                let number = results.len() as u64 * 0x9e37 + 0x5c1e_07a2;
                let name = format!("{}/{number:012x}", self.address);
                items.push(format!("{{\"handle\":\"{name}\"}}"));
                results.insert(name);
            }
        }
        format!("{{\"items\":[{}]}}", items.join(","))
    }
}
