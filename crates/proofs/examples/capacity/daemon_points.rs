use {
    crate::{
        fleet::{describe_member, list_row},
        print_figure, print_heading,
        process_stats::{processor_ticks, resident_bytes},
        sheet_slopes,
    },
    base::HostState,
    proofs::{FleetHarness, FleetPlan, wait_until},
    std::{
        net::{TcpListener, UdpSocket},
        time::{Duration, Instant},
    },
};

/// Numbers of customers in the sheets that the entries start with.
const CUSTOMER_COUNTS: [usize; 3] = [100, 10_000, 31_000];
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Time over which the processor use is measured.
const CORE_SAMPLE_TIME: Duration = Duration::from_secs(4);
/// Number of changes of the sheet over which the cost of one is measured.
const CHANGES_PER_ROUND: u32 = 5;
/// Number of further rounds of changes, after which the memory is measured again.
const EXTRA_ROUNDS: u32 = 2;
/// Number of peers in the host list that never answer.
const SILENT_PEERS: usize = 369;

/// Costs of a real entry: times in seconds, memory in bytes, processor use in percent of a core.
struct DaemonFigures {
    start_seconds: f64,
    restart_seconds: f64,
    start_bytes: f64,
    core_percent: f64,
    change_seconds: f64,
    change_core_seconds: f64,
    changed_bytes: f64,
    final_bytes: f64,
    peers_bytes: f64,
    peers_core_percent: f64,
}

/// Measures two real entries with a platform stand-in for each number of customers, and prints the
/// costs of one entry.
pub async fn print() -> anyhow::Result<()> {
    print_heading("One of two camphor-entry processes", &CUSTOMER_COUNTS);
    let mut figures = Vec::new();
    for customers in CUSTOMER_COUNTS {
        figures.push((customers as f64, measure(customers).await?));
    }
    let line = |name: &str, value: fn(&DaemonFigures) -> f64| {
        let points: Vec<_> = figures
            .iter()
            .map(|(size, each)| (*size, value(each)))
            .collect();
        print_figure(name, "customers", &points);
    };
    line(
        "s from start to the first answer, all processes",
        |figures| figures.start_seconds,
    );
    line(
        "s until a replaced entry answers, sheet from its peer",
        |figures| figures.restart_seconds,
    );
    line("MB resident", |figures| figures.start_bytes / 1e6);
    line("% of a core, quiet", |figures| figures.core_percent);
    line("s until a change is in force", |figures| {
        figures.change_seconds
    });
    line("core seconds of a change", |figures| {
        figures.change_core_seconds
    });
    line("MB resident after 5 changes", |figures| {
        figures.changed_bytes / 1e6
    });
    line("MB resident after 15 changes", |figures| {
        figures.final_bytes / 1e6
    });
    line("MB resident with 369 silent peers", |figures| {
        figures.peers_bytes / 1e6
    });
    line("% of a core with 369 silent peers", |figures| {
        figures.peers_core_percent
    });
    Ok(())
}

async fn measure(customers: usize) -> anyhow::Result<DaemonFigures> {
    let mut plan = FleetPlan::new(2);
    plan.rows = sheet_slopes::sheet_rows(customers);
    let begin = Instant::now();
    let mut harness = FleetHarness::start(plan).await?;
    let start_seconds = begin.elapsed().as_secs_f64();
    let begin = Instant::now();
    harness.restart_entry("h2").await?;
    harness.wait_for_sheet("h2", 1, WAIT_TIMEOUT).await?;
    let restart_seconds = begin.elapsed().as_secs_f64();
    let process = harness.process("h1").id().to_string();
    let start_bytes = resident_bytes(&process) as f64;
    let core_percent = measure_core_percent(&process).await;
    let (change_seconds, change_core_seconds) = measure_changes(&mut harness, &process).await?;
    let changed_bytes = resident_bytes(&process) as f64;
    for _ in 0..EXTRA_ROUNDS {
        self::measure_changes(&mut harness, &process).await?;
    }
    let final_bytes = resident_bytes(&process) as f64;
    let sockets = silent_sockets()?;
    let rows = sockets.iter().enumerate().map(|(peer, (datagrams, _))| {
        let mut member = describe_member(peer, 1);
        member.peers = datagrams
            .local_addr()
            .map_or(member.peers, |address| address.to_string());
        list_row(&member, HostState::Live)
    });
    harness.hosts_mut().hosts.extend(rows);
    harness.publish_hosts().await?;
    let url = format!("{}/members", harness.operator_url("h1"));
    wait_until("the entry lists its peers", WAIT_TIMEOUT, async || {
        let members: Vec<serde_json::Value> = harness.probe().get(&url).await.unwrap_or_default();
        members.len() >= SILENT_PEERS
    })
    .await?;
    let peers_core_percent = measure_core_percent(&process).await;
    Ok(DaemonFigures {
        start_seconds,
        restart_seconds,
        start_bytes,
        core_percent,
        change_seconds,
        change_core_seconds,
        changed_bytes,
        final_bytes,
        peers_bytes: resident_bytes(&process) as f64,
        peers_core_percent,
    })
}

/// Opens the sockets of the peers in this process, which never answers on them: a UDP socket and a
/// TCP listener at the same address for each peer.
fn silent_sockets() -> std::io::Result<Vec<(UdpSocket, TcpListener)>> {
    let mut sockets = Vec::new();
    while sockets.len() < SILENT_PEERS {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        if let Ok(datagrams) = UdpSocket::bind(listener.local_addr()?) {
            sockets.push((datagrams, listener));
        }
    }
    Ok(sockets)
}

/// Returns the percentage of a core that a process uses.
async fn measure_core_percent(process: &str) -> f64 {
    let before = processor_ticks(process);
    actix_rt::time::sleep(CORE_SAMPLE_TIME).await;
    (processor_ticks(process) - before) as f64 / CORE_SAMPLE_TIME.as_secs_f64()
}

/// Publishes a round of changes; returns the longest time until one is in force, in seconds, and
/// the mean processor time of one, in core seconds.
async fn measure_changes(harness: &mut FleetHarness, process: &str) -> anyhow::Result<(f64, f64)> {
    let before = processor_ticks(process);
    let mut longest_seconds = 0.0_f64;
    for number in 0..CHANGES_PER_ROUND {
        let version = harness
            .publish(|rows| rows.target[0].capacity = 9 + number)
            .await?;
        let begin = Instant::now();
        harness.wait_for_sheet("h1", version, WAIT_TIMEOUT).await?;
        longest_seconds = longest_seconds.max(begin.elapsed().as_secs_f64());
    }
    let ticks = processor_ticks(process) - before;
    Ok((
        longest_seconds,
        ticks as f64 / 100.0 / f64::from(CHANGES_PER_ROUND),
    ))
}
