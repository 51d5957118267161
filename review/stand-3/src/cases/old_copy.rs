//! Processes that start together while the store is back from a copy in which a withdrawn key is in force.

use {
    crate::{
        RuleOutcome, edge_process::EdgeFleet, http_text::read_message, run_record::RunRecord,
        stand_replica::StandReplica, stand_store::StandStore,
    },
    std::{
        io::{self, BufReader, Write},
        net::{SocketAddr, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::Duration,
    },
};

const SERVICE: &str = "ledger-api";
const EDGE_COUNT: usize = 4;
/// Processes that are killed at the same moment.
const KILL_COUNT: usize = 2;
const REQUESTER_COUNT: usize = 12;
const WORK_TIME: Duration = Duration::from_millis(5);
/// Time within which a withdrawn key must be out of use.
const REVOKE_TIME: Duration = Duration::from_millis(5_000);
/// Time from the withdrawal until the store is away, and for which it is.
const TIME_BEFORE: Duration = Duration::from_millis(4_200);
const AWAY_TIME: Duration = Duration::from_millis(1_000);
/// Time from the return of the store to the first kill, and from one kill to the next.
const KILL_INTERVAL: Duration = Duration::from_millis(600);
/// Number of times that the processes are killed.
const KILL_ROUNDS: u32 = 2;
/// Time from the return until the operator has written the configuration again.
const REWRITE_TIME: Duration = Duration::from_millis(2_000);

/// Number of the next request.
static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

fn config(version: u32, keys: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-post","host":"jepu9.example","prefix":"/bobo563/","routeType":"non_idempotent","timeoutMs":4000,"latencyGoalMs":300,"priority":1,"service":"{SERVICE}","maxAttempts":1,"stages":[],"anonymous":false}}],"services":[{{"name":"{SERVICE}","healthPath":"/health","maxConnections":100}}],"tenants":[{{"name":"bozi300","apiKeys":[{keys}]}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":10000,"idleTimeoutMs":60000}}}}"#
    )
}

/// CONFIG: no request with a withdrawn key that was sent later than `revokeMs` after the confirmation runs.
pub fn old_copy(record: &Arc<RunRecord>, has_trouble: bool) -> Result<RuleOutcome, String> {
    let store = StandStore::start(record);
    for number in 0..3 {
        let replica = StandReplica::start(&format!("i-{number:08x}"), WORK_TIME, record);
        let entry = replica.store_entry(SERVICE, "ready");
        store.put(&format!("servers/{}", replica.id), &entry);
    }
    store.put("op/config", &config(7, r#""key-a","key-b""#));
    let mut fleet = EdgeFleet::start(EDGE_COUNT, store.address, record)?;
    thread::sleep(Duration::from_secs(4));
    let copy = store.copy();
    thread::sleep(Duration::from_millis(500));
    let withdrawn = config(9, r#""key-b""#);
    let revoked_at = store.put("op/config", &withdrawn);
    thread::sleep(TIME_BEFORE);
    if has_trouble {
        store.go_away();
        thread::sleep(AWAY_TIME);
        store.come_back(copy);
    } else {
        thread::sleep(AWAY_TIME);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let fronts = fleet.edges[EDGE_COUNT - KILL_COUNT..].iter();
    let fronts: Vec<SocketAddr> = fronts.map(|edge| edge.front()).collect();
    let fronts = fronts.into_iter().cycle().take(REQUESTER_COUNT);
    let requesters = fronts.map(|front| {
        let (record, stop) = (Arc::clone(record), Arc::clone(&stop));
        thread::spawn(move || send_withdrawn(front, &stop, &record))
    });
    let requesters: Vec<_> = requesters.collect();
    for _ in 0..KILL_ROUNDS {
        thread::sleep(KILL_INTERVAL);
        fleet.kill_last(KILL_COUNT, record)?;
    }
    thread::sleep(REWRITE_TIME - KILL_INTERVAL * KILL_ROUNDS);
    store.put("op/config", &withdrawn);
    thread::sleep(Duration::from_secs(3));
    stop.store(true, Ordering::SeqCst);
    let (mut sent, mut served) = (0, 0);
    for requester in requesters {
        let answers = requester.join().map_err(|_| "a requester has panicked")?;
        let late = answers
            .into_iter()
            .filter(|(at, _)| *at > revoked_at + REVOKE_TIME);
        for (_, status) in late {
            sent += 1;
            served += usize::from(status == 200);
        }
    }
    record.note(&format!(
        "{sent} requests with the withdrawn key were answered, {served} with 200"
    ));
    if sent == 0 {
        return Err(String::from("no request was answered"));
    }
    Ok(match served {
        0 => RuleOutcome::Held,
        count => RuleOutcome::Broken(format!("{count} requests with a withdrawn key ran")),
    })
}

/// Sends requests with the withdrawn key, each on a new connection, until told to stop; returns the time and status
/// of those that were answered.
fn send_withdrawn(
    entry: SocketAddr,
    stop: &AtomicBool,
    record: &RunRecord,
) -> Vec<(Duration, u16)> {
    let mut answers = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let number = NEXT_REQUEST.fetch_add(1, Ordering::SeqCst);
        let sent_at = record.now();
        let status = post(entry, &format!("{number:016x}"));
        if let Ok(status) = status {
            record.note(&format!(
                "requester: {number:016x} at {entry} is answered {status}"
            ));
            answers.push((sent_at, status));
        }
        thread::sleep(Duration::from_millis(4));
    }
    answers
}

fn post(entry: SocketAddr, id: &str) -> io::Result<u16> {
    let mut stream = TcpStream::connect(entry)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let text = format!(
        "POST /bobo563/2f HTTP/1.1\r\nHost: jepu9.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 4000\r\nX-Api-Key: key-a\r\nContent-Length: 16\r\n\r\n{id}"
    );
    stream.write_all(text.as_bytes())?;
    let answer = read_message(&mut BufReader::new(stream))?;
    answer
        .map(|answer| answer.status())
        .ok_or(io::ErrorKind::UnexpectedEof.into())
}
