use {
    crate::{
        fleet::{describe_member, list_row},
        head,
        own_memory::{memory_of, ticks_of},
        sheet_slopes, show,
    },
    base::HostState,
    proofs::{FleetHarness, FleetPlan, wait_until},
    std::{
        net::{TcpListener, UdpSocket},
        time::{Duration, Instant},
    },
};

/// Customers of the sheets that processes are started with.
const STARTED: [usize; 3] = [100, 10_000, 31_000];
const LIMIT: Duration = Duration::from_secs(20);
/// Time over which the processor share is taken.
const WATCHED: Duration = Duration::from_secs(4);
/// Changes of the sheet over which the cost of one is taken.
const CHANGES: u32 = 5;
/// Further rounds of as many changes.
const MORE_ROUNDS: u32 = 2;
/// Peers that the host list names and that never answer.
const PEERS: usize = 369;

/// What a real entry costs.
struct DaemonFigures {
    start: f64,
    restart: f64,
    memory: f64,
    core: f64,
    change: f64,
    change_core: f64,
    after: f64,
    later: f64,
    peers_memory: f64,
    peers_core: f64,
}

/// Two real entries with one platform stand-in, for each number of customers.
pub async fn print() -> anyhow::Result<()> {
    head("One of two camphor-entry processes", &STARTED);
    let mut figures = Vec::new();
    for customers in STARTED {
        figures.push((customers as f64, measure(customers).await?));
    }
    let line = |name: &str, value: fn(&DaemonFigures) -> f64| {
        let points: Vec<_> = figures
            .iter()
            .map(|(size, each)| (*size, value(each)))
            .collect();
        show(name, "customers", &points);
    };
    line(
        "s from start to the first answer, all processes",
        |figures| figures.start,
    );
    line(
        "s until a replaced entry answers, sheet from its peer",
        |figures| figures.restart,
    );
    line("MB resident", |figures| figures.memory / 1e6);
    line("% of a core, quiet", |figures| figures.core);
    line("s until a change is in force", |figures| figures.change);
    line("core seconds of a change", |figures| figures.change_core);
    line("MB resident after 5 changes", |figures| figures.after / 1e6);
    line("MB resident after 15 changes", |figures| {
        figures.later / 1e6
    });
    line("MB resident with 369 silent peers", |figures| {
        figures.peers_memory / 1e6
    });
    line("% of a core with 369 silent peers", |figures| {
        figures.peers_core
    });
    Ok(())
}

async fn measure(customers: usize) -> anyhow::Result<DaemonFigures> {
    let mut plan = FleetPlan::new(2);
    plan.rows = sheet_slopes::rows(customers);
    let begin = Instant::now();
    let mut harness = FleetHarness::start(plan).await?;
    let start = begin.elapsed().as_secs_f64();
    let begin = Instant::now();
    harness.restart_entry("h2").await?;
    harness.wait_for_sheet("h2", 1, LIMIT).await?;
    let restart = begin.elapsed().as_secs_f64();
    let process = harness.process("h1").id().to_string();
    let memory = memory_of(&process) as f64;
    let core = share(&process).await;
    let (change, change_core) = change(&mut harness, &process).await?;
    let after = memory_of(&process) as f64;
    for _ in 0..MORE_ROUNDS {
        self::change(&mut harness, &process).await?;
    }
    let later = memory_of(&process) as f64;
    let sockets = silent_sockets()?;
    let peers = sockets.iter().enumerate().map(|(peer, (datagrams, _))| {
        let mut own = describe_member(peer, 1);
        own.peers = datagrams
            .local_addr()
            .map_or(own.peers, |at| at.to_string());
        list_row(&own, HostState::Live)
    });
    harness.hosts_mut().hosts.extend(peers);
    harness.publish_hosts().await?;
    let url = format!("{}/members", harness.operator_url("h1"));
    wait_until("the entry knows its peers", LIMIT, async || {
        let members: Vec<serde_json::Value> = harness.probe().get(&url).await.unwrap_or_default();
        members.len() >= PEERS
    })
    .await?;
    let peers_core = share(&process).await;
    Ok(DaemonFigures {
        start,
        restart,
        memory,
        core,
        change,
        change_core,
        after,
        later,
        peers_memory: memory_of(&process) as f64,
        peers_core,
    })
}

/// Sockets of this process that answer nothing, one pair for each peer.
fn silent_sockets() -> std::io::Result<Vec<(UdpSocket, TcpListener)>> {
    let mut sockets = Vec::new();
    while sockets.len() < PEERS {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        if let Ok(datagrams) = UdpSocket::bind(listener.local_addr()?) {
            sockets.push((datagrams, listener));
        }
    }
    Ok(sockets)
}

/// Percent of a core that a process takes.
async fn share(process: &str) -> f64 {
    let before = ticks_of(process);
    actix_rt::time::sleep(WATCHED).await;
    (ticks_of(process) - before) as f64 / WATCHED.as_secs_f64()
}

/// Seconds until a change is in force, the longest, and core seconds of one change.
async fn change(harness: &mut FleetHarness, process: &str) -> anyhow::Result<(f64, f64)> {
    let before = ticks_of(process);
    let mut longest = 0.0_f64;
    for number in 0..CHANGES {
        let version = harness
            .publish(|rows| rows.target[0].capacity = 9 + number)
            .await?;
        let begin = Instant::now();
        harness.wait_for_sheet("h1", version, LIMIT).await?;
        longest = longest.max(begin.elapsed().as_secs_f64());
    }
    let ticks = ticks_of(process) - before;
    Ok((longest, ticks as f64 / 100.0 / f64::from(CHANGES)))
}
