//! Measures the cost of membership per daemon and the time in which changes reach all members, by
//! fleet size, in a simulated fleet with fixed seeds. Prints one JSON line per size.
//!
//! `cargo run --release -p member --example slopes [SIZE...]`

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use {
    fleet::{Fleet, host_name},
    member::MemberEvent,
    std::time::{Duration, Instant},
    wire::MarkSource,
};

const SIZES: [usize; 4] = [8, 32, 128, 370];
const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];
const LOSS: f64 = 0.01;
const WARM_UP: Duration = Duration::from_secs(60);
const QUIET_TIME: Duration = Duration::from_secs(30);
const REACH_LIMIT: Duration = Duration::from_secs(60);

/// Measurements of the fleets of one size, one value per seed or per member.
#[derive(Default)]
struct Measurements {
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
    let sizes_given: Vec<usize> = std::env::args()
        .skip(1)
        .flat_map(|size| size.parse())
        .collect();
    let sizes = if sizes_given.is_empty() {
        SIZES.to_vec()
    } else {
        sizes_given
    };
    for size in sizes {
        let mut measurements = Measurements::default();
        for seed in SEEDS {
            measure_fleet(size, seed, &mut measurements);
        }
        print_line(size, measurements);
    }
}

fn measure_fleet(size: usize, seed: u64, measurements: &mut Measurements) {
    let mut fleet = Fleet::new(size, seed, LOSS);
    fleet.run(WARM_UP);
    measure_quiet_cost(&mut fleet, measurements);
    measure_mark(&mut fleet, measurements);
    measure_leaving(&mut fleet, measurements);
    measure_death(&mut fleet, measurements);
}

/// Measures the cost while nothing changes.
fn measure_quiet_cost(fleet: &mut Fleet, measurements: &mut Measurements) {
    fleet.reset_counts();
    for node in &mut fleet.nodes {
        node.events.clear();
    }
    let start = Instant::now();
    fleet.run(QUIET_TIME);
    let seconds = QUIET_TIME.as_secs_f64();
    let core_share = start.elapsed().as_secs_f64() / seconds / fleet.nodes.len() as f64;
    measurements.core_percent.push(100.0 * core_share);
    for node in &fleet.nodes {
        measurements
            .sent_bytes
            .push(node.sent_bytes as f64 / seconds);
        measurements
            .received_bytes
            .push(node.received_bytes as f64 / seconds);
        measurements
            .messages
            .push((node.sent + node.received) as f64 / seconds);
    }
    let events = fleet.nodes.iter().flat_map(|node| &node.events);
    let suspicions = events
        .filter(|event| matches!(event, MemberEvent::Suspect { .. }))
        .count();
    let hours = seconds / 3_600.0;
    measurements
        .false_suspicions
        .push(suspicions as f64 / hours / fleet.nodes.len() as f64);
}

/// Measures the time in which a target's mark reaches all members, and the cost of the 5 s from the
/// mark on.
fn measure_mark(fleet: &mut Fleet, measurements: &mut Measurements) {
    fleet.reset_counts();
    let since = fleet.stamp();
    fleet.call(0, |table, now| {
        table.mark_target_leaving("engine-017", MarkSource::Target, since, now)
    });
    let took = fleet.run_until_done(REACH_LIMIT, |fleet| {
        let mut nodes = fleet.nodes.iter();
        nodes.all(|node| node.table.is_target_leaving("engine-017"))
    });
    measurements.mark_ms.push(millis_or_infinity(took));
    fleet.run(Duration::from_secs(5).saturating_sub(took.unwrap_or_default()));
    for node in &fleet.nodes {
        measurements
            .busy_bytes
            .push((node.sent_bytes + node.received_bytes) as f64 / 5.0);
    }
    fleet.run(Duration::from_secs(5));
}

/// Measures the time in which a host's leaving reaches all members.
fn measure_leaving(fleet: &mut Fleet, measurements: &mut Measurements) {
    let now = fleet.now;
    fleet.nodes[1].table.set_leaving(now);
    fleet.call(1, |table, now| table.on_tick(now));
    let took = fleet.run_until_done(REACH_LIMIT, |fleet| fleet.all_see_live(1, false));
    measurements.leaving_ms.push(millis_or_infinity(took));
    fleet.run(Duration::from_secs(5));
}

/// Measures the time until a dead host is in no member's answers.
fn measure_death(fleet: &mut Fleet, measurements: &mut Measurements) {
    fleet.nodes[2].is_dead = true;
    let name = host_name(2);
    let took = fleet.run_until_done(REACH_LIMIT, |fleet| {
        let mut running = fleet.nodes.iter().filter(|node| !node.is_dead);
        running.all(|node| !node.table.is_live_entry(&name))
    });
    measurements.death_ms.push(millis_or_infinity(took));
}

/// Returns milliseconds, or infinity if the limit was reached.
fn millis_or_infinity(took: Option<Duration>) -> f64 {
    took.map_or(f64::INFINITY, |took| took.as_secs_f64() * 1_000.0)
}

fn print_line(size: usize, measurements: Measurements) {
    let line = serde_json::json!({
        "members": size,
        "seeds": SEEDS.len(),
        "loss": LOSS,
        "sent_bytes_per_second": median_and_range(measurements.sent_bytes),
        "received_bytes_per_second": median_and_range(measurements.received_bytes),
        "messages_per_second": median_and_range(measurements.messages),
        "bytes_per_second_around_a_mark": median_and_range(measurements.busy_bytes),
        "target_mark_to_all_ms": median_and_range(measurements.mark_ms),
        "host_leaving_to_all_ms": median_and_range(measurements.leaving_ms),
        "host_death_to_all_ms": median_and_range(measurements.death_ms),
        "false_suspicions_per_member_hour": median_and_range(measurements.false_suspicions),
        "core_percent_with_network_model": median_and_range(measurements.core_percent),
    });
    println!("{line}");
}

/// Returns the median and the range of a measurement.
fn median_and_range(mut values: Vec<f64>) -> serde_json::Value {
    values.sort_by(f64::total_cmp);
    let round = |value: f64| (value * 1_000.0).round() / 1_000.0;
    serde_json::json!({
        "median": round(values[values.len() / 2]),
        "least": round(values[0]),
        "most": round(values[values.len() - 1]),
    })
}
