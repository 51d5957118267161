//! Cost of membership for one daemon, and the time for news to reach everyone, by fleet size.
//! Prints one JSON line for each size; seeds are fixed.
//!
//! `cargo run --release -p member --example slopes [SIZE...]`

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use {
    fleet::{Fleet, host},
    member::MemberEvent,
    std::time::{Duration, Instant},
    wire::MarkSource,
};

const SIZES: [usize; 4] = [8, 32, 128, 370];
const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];
const LOSS: f64 = 0.01;
const WARM_UP: Duration = Duration::from_secs(60);
const QUIET: Duration = Duration::from_secs(30);
const LIMIT: Duration = Duration::from_secs(60);

/// Figures of one fleet.
#[derive(Default)]
struct Figures {
    sent_bytes: Vec<f64>,
    received_bytes: Vec<f64>,
    messages: Vec<f64>,
    busy_bytes: Vec<f64>,
    mark_ms: Vec<f64>,
    leaving_ms: Vec<f64>,
    death_ms: Vec<f64>,
    false_suspicions: Vec<f64>,
    core_percent: Vec<f64>,
}

fn main() {
    let asked: Vec<usize> = std::env::args()
        .skip(1)
        .flat_map(|size| size.parse())
        .collect();
    let sizes = if asked.is_empty() {
        SIZES.to_vec()
    } else {
        asked
    };
    for size in sizes {
        let mut figures = Figures::default();
        for seed in SEEDS {
            measure(size, seed, &mut figures);
        }
        print(size, figures);
    }
}

fn measure(size: usize, seed: u64, figures: &mut Figures) {
    let mut fleet = Fleet::new(size, seed, LOSS);
    fleet.run(WARM_UP);
    quiet(&mut fleet, figures);
    mark(&mut fleet, figures);
    leave(&mut fleet, figures);
    die(&mut fleet, figures);
}

/// Cost while nothing changes.
fn quiet(fleet: &mut Fleet, figures: &mut Figures) {
    fleet.reset_counts();
    for node in &mut fleet.nodes {
        node.events.clear();
    }
    let start = Instant::now();
    fleet.run(QUIET);
    let seconds = QUIET.as_secs_f64();
    let busy = start.elapsed().as_secs_f64() / seconds / fleet.nodes.len() as f64;
    figures.core_percent.push(100.0 * busy);
    for node in &fleet.nodes {
        figures.sent_bytes.push(node.sent_bytes as f64 / seconds);
        figures
            .received_bytes
            .push(node.received_bytes as f64 / seconds);
        figures
            .messages
            .push((node.sent + node.received) as f64 / seconds);
    }
    let events = fleet.nodes.iter().flat_map(|node| &node.events);
    let wrong = events
        .filter(|event| matches!(event, MemberEvent::Suspect { .. }))
        .count();
    let hours = seconds / 3_600.0;
    figures
        .false_suspicions
        .push(wrong as f64 / hours / fleet.nodes.len() as f64);
}

/// Time for a target's mark to reach everyone, and the cost of that second.
fn mark(fleet: &mut Fleet, figures: &mut Figures) {
    fleet.reset_counts();
    let since = fleet.stamp();
    fleet.call(0, |table, now| {
        table.mark_target_leaving("engine-017", MarkSource::Target, since, now)
    });
    let took = fleet.run_while_not(LIMIT, |fleet| {
        let mut nodes = fleet.nodes.iter();
        nodes.all(|node| node.table.is_target_leaving("engine-017"))
    });
    figures.mark_ms.push(milliseconds(took));
    fleet.run(Duration::from_secs(5).saturating_sub(took.unwrap_or_default()));
    for node in &fleet.nodes {
        figures
            .busy_bytes
            .push((node.sent_bytes + node.received_bytes) as f64 / 5.0);
    }
    fleet.run(Duration::from_secs(5));
}

/// Time for a host's leaving to reach everyone.
fn leave(fleet: &mut Fleet, figures: &mut Figures) {
    let now = fleet.now;
    fleet.nodes[1].table.set_leaving(now);
    fleet.call(1, |table, now| table.on_tick(now));
    let took = fleet.run_while_not(LIMIT, |fleet| fleet.all_use(1, false));
    figures.leaving_ms.push(milliseconds(took));
    fleet.run(Duration::from_secs(5));
}

/// Time until a dead host is in no one's answers.
fn die(fleet: &mut Fleet, figures: &mut Figures) {
    fleet.nodes[2].dead = true;
    let name = host(2);
    let took = fleet.run_while_not(LIMIT, |fleet| {
        let mut running = fleet.nodes.iter().filter(|node| !node.dead);
        running.all(|node| !node.table.is_live_entry(&name))
    });
    figures.death_ms.push(milliseconds(took));
}

/// Milliseconds, or infinity if the limit was reached.
fn milliseconds(took: Option<Duration>) -> f64 {
    took.map_or(f64::INFINITY, |took| took.as_secs_f64() * 1_000.0)
}

fn print(size: usize, figures: Figures) {
    let line = serde_json::json!({
        "members": size,
        "seeds": SEEDS.len(),
        "loss": LOSS,
        "sent_bytes_per_second": spread(figures.sent_bytes),
        "received_bytes_per_second": spread(figures.received_bytes),
        "messages_per_second": spread(figures.messages),
        "bytes_per_second_around_a_mark": spread(figures.busy_bytes),
        "target_mark_to_all_ms": spread(figures.mark_ms),
        "host_leaving_to_all_ms": spread(figures.leaving_ms),
        "host_death_to_all_ms": spread(figures.death_ms),
        "false_suspicions_per_member_hour": spread(figures.false_suspicions),
        "core_percent_with_network_model": spread(figures.core_percent),
    });
    println!("{line}");
}

/// Median and range of a figure.
fn spread(mut values: Vec<f64>) -> serde_json::Value {
    values.sort_by(f64::total_cmp);
    let round = |value: f64| (value * 1_000.0).round() / 1_000.0;
    serde_json::json!({
        "median": round(values[values.len() / 2]),
        "least": round(values[0]),
        "most": round(values[values.len() - 1]),
    })
}
