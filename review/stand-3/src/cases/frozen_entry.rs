//! An entry that has lost its links to the replicas has a stream run by way of another entry, and then
//! stands still; its requester takes the stream up elsewhere.

use {
    crate::{
        RuleOutcome,
        cut_link::CutLink,
        edge_process::EdgeFleet,
        http_text::{read_chunk, read_head},
        run_record::RunRecord,
        stand_engine::{EVENT_COUNT, EngineRun, EngineRuns, StandEngine},
        stand_store::StandStore,
    },
    std::{
        io::{BufReader, Write},
        net::{SocketAddr, TcpStream},
        sync::Arc,
        thread,
        time::Duration,
    },
};

const SERVICE: &str = "scan-models";
const ENGINE_COUNT: usize = 4;
const EDGE_COUNT: usize = 4;
/// Time for which the fleet runs undisturbed.
const CALM_TIME: Duration = Duration::from_secs(10);
/// Time from the cut of the links to the streams.
const LEAD_TIME: Duration = Duration::from_millis(2_400);
/// Time for which the links are cut.
const CUT_TIME: Duration = Duration::from_secs(5);
/// Time for which the streams run before their entry stands still.
const TIME_BEFORE: Duration = Duration::from_millis(1_200);
const REQUESTER_COUNT: usize = 6;
/// Time for which the entry stands still.
const FREEZE_TIME: Duration = Duration::from_millis(3_500);
/// Gap between events after which a requester gives a stream up: two seconds, four times the objective or
/// eight times the longest pause, whichever is longest.
const MAX_GAP: Duration = Duration::from_millis(2_000);
/// Time for which the replica before may still work.
const OVERLAP_TIME: Duration = Duration::from_millis(400);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-explain","host":"jepu9.example","prefix":"/puxa400/","routeType":"streaming","timeoutMs":15000,"latencyGoalMs":400,"priority":1,"service":"scan-models","maxAttempts":2,"stages":[],"anonymous":false,"affinity":true,"streamResume":true,"gapGoalMs":250}],"services":[{"name":"scan-models","healthPath":"/health","maxConnections":360,"engine":{"slots":64,"kvCapacity":361794,"kvTokenBytes":327680,"linkMbps":220000.0}}],"tenants":[{"name":"bozi300","apiKeys":["key-a"]}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":10000,"idleTimeoutMs":60000}}"#;

/// TWICE: no request goes on at another replica while the one before still works on it 400 ms later.
pub fn frozen_entry(record: &Arc<RunRecord>, has_trouble: bool) -> Result<RuleOutcome, String> {
    let runs = EngineRuns::default();
    // The first entry reaches the engines by links of its own; both stores say the same otherwise.
    let stores = [StandStore::start(record), StandStore::start(record)];
    for store in &stores {
        store.put("op/config", CONFIG);
    }
    let mut links = Vec::new();
    for number in 0..ENGINE_COUNT {
        let engine = StandEngine::start(&format!("i-{number:08x}"), &runs, record);
        let link = CutLink::start(engine.address);
        let key = format!("servers/{}", engine.id);
        stores[0].put(&key, &engine.store_entry(SERVICE, link.address));
        stores[1].put(&key, &engine.store_entry(SERVICE, engine.address));
        links.push(link);
    }
    let mut addresses = vec![stores[1].address; EDGE_COUNT];
    addresses[0] = stores[0].address;
    let fleet = EdgeFleet::start_at(&addresses, record)?;
    let near = fleet.edges[0].front();
    thread::sleep(CALM_TIME);
    if has_trouble {
        record.note("the links of the first entry to the replicas are cut");
        for link in &links {
            link.cut();
        }
        // Requests show the entry that its links are lost.
        for number in 0..3 {
            let request = Stream::open(
                near,
                &format!("{number:08x}e4402b7d"),
                "/puxa400/probe",
                None,
            );
            drop(request);
            thread::sleep(LEAD_TIME / 3);
        }
    }
    let requesters: Vec<_> = (0..REQUESTER_COUNT)
        .map(|number| {
            let record = Arc::clone(record);
            let far = fleet.edges[1 + number % (EDGE_COUNT - 1)].front();
            thread::spawn(move || read_stream(number, near, far, &record))
        })
        .collect();
    thread::sleep(TIME_BEFORE);
    if has_trouble {
        record.note("the first entry stands still");
        fleet.edges[0].signal("STOP")?;
        let cut_left = CUT_TIME - LEAD_TIME - TIME_BEFORE;
        thread::sleep(cut_left);
        record.note("the links of the first entry are back");
        for link in &links {
            link.restore();
        }
        thread::sleep(FREEZE_TIME - cut_left);
        record.note("the first entry goes on");
        fleet.edges[0].signal("CONT")?;
    }
    for requester in requesters {
        let outcome = requester.join().map_err(|_| "a requester has panicked")?;
        record.note(&format!("a requester has its stream: {outcome:?}"));
    }
    let runs = runs.lock().expect("the runs").clone();
    Ok(judge(&runs, record))
}

/// Reads a stream from one entry; after a gap that is too long, the rest from another one.
fn read_stream(
    number: usize,
    near: SocketAddr,
    far: SocketAddr,
    record: &RunRecord,
) -> Result<(), String> {
    let path = format!("/puxa400/s{number}");
    let id = format!("{number:08x}91bd3f06");
    let mut stream = Stream::open(near, &id, &path, None)?;
    while stream.last_event < EVENT_COUNT && stream.next_event().is_ok() {}
    let last_event = stream.last_event;
    if last_event == EVENT_COUNT {
        return Ok(());
    }
    drop(stream);
    record.note(&format!(
        "the requester of {path} gives up after event {last_event}, and takes the stream up"
    ));
    let mut rest = Stream::open(
        far,
        &format!("{number:08x}5c1e07a2"),
        &path,
        Some((last_event, &id)),
    )?;
    while rest.last_event < EVENT_COUNT {
        rest.next_event()?;
    }
    Ok(())
}

fn judge(runs: &[EngineRun], record: &RunRecord) -> RuleOutcome {
    let mut overlaps = Vec::new();
    for after in runs.iter().filter(|run| run.goes_on_after.is_some()) {
        let before = runs
            .iter()
            .find(|run| run.path == after.path && run.goes_on_after.is_none());
        record.note(&format!("{before:?} went on as {after:?}"));
        let elsewhere = before.filter(|before| before.engine != after.engine);
        let overlap = elsewhere.map(|before| before.last_at.saturating_sub(after.first_at));
        overlaps.extend(overlap.filter(|overlap| *overlap > OVERLAP_TIME));
    }
    match overlaps.into_iter().max() {
        Some(overlap) => RuleOutcome::Broken(format!(
            "the replica before still worked {overlap:?} after another one had gone on"
        )),
        None => RuleOutcome::Held,
    }
}

/// A stream that a requester reads.
struct Stream {
    reader: BufReader<TcpStream>,
    last_event: u32,
}

impl Stream {
    fn open(
        entry: SocketAddr,
        id: &str,
        path: &str,
        after: Option<(u32, &str)>,
    ) -> Result<Self, String> {
        let connect = || {
            let mut stream = TcpStream::connect(entry)?;
            stream.set_read_timeout(Some(MAX_GAP))?;
            let after = after.map_or(String::new(), |(event, begun_as)| {
                format!("Last-Event-Id: {event}\r\nResumes: {begun_as}\r\n")
            });
            let text = format!(
                "POST {path} HTTP/1.1\r\nHost: jepu9.example\r\nX-Request-Id: {id}\r\nX-Model: m\r\nX-Token-Count: 8,300\r\nX-Prompt-Prefix: {}:8\r\nX-Deadline-Ms: 15000\r\nX-Api-Key: key-a\r\n{after}Content-Length: 4\r\n\r\ntext",
                &id[..8]
            );
            stream.write_all(text.as_bytes())?;
            Ok(stream)
        };
        let stream = connect().map_err(|error: std::io::Error| error.to_string())?;
        let mut reader = BufReader::new(stream);
        let head = read_head(&mut reader).map_err(|error| error.to_string())?;
        let status = head.map_or(0, |head| head.status());
        match status {
            200 => Ok(Self {
                reader,
                last_event: after.map_or(0, |(event, _)| event),
            }),
            status => Err(format!("status {status}")),
        }
    }

    /// Reads on until there is a further event.
    fn next_event(&mut self) -> Result<(), String> {
        let chunk = read_chunk(&mut self.reader).map_err(|error| error.to_string())?;
        let chunk = chunk.ok_or("the stream has ended")?;
        let text = String::from_utf8_lossy(&chunk).into_owned();
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        if let Some(id) = ids.filter_map(|id| id.parse().ok()).next_back() {
            self.last_event = id;
        }
        Ok(())
    }
}
