use {
    crate::{
        MEMBERS,
        fleet::{Fleet, host_name},
        print_figure, print_heading,
    },
    std::time::{Duration, Instant},
    wire::MarkSource,
};

const SEED: u64 = 1;
/// Share of messages that are lost.
const LOSS_SHARE: f64 = 0.01;
/// Simulated time before the first measurement.
const WARM_UP_TIME: Duration = Duration::from_secs(20);
/// Simulated time without changes over which the running cost is measured.
const QUIET_TIME: Duration = Duration::from_secs(20);
/// Duration of a partition, and the pause before an entry is stopped.
const PARTITION_TIME: Duration = Duration::from_secs(15);
/// Maximum simulated time until a change is known to all.
const SPREAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Costs of one fleet; the printed names of the figures give their units.
struct FleetFigures {
    messages: f64,
    sent_bytes: f64,
    received_bytes: f64,
    core_percent: f64,
    mark_seconds: f64,
    mark_seconds_after_partition: f64,
    death_seconds: f64,
    mark_bytes: f64,
}

/// Prints the cost of membership for one member and the times until a mark or a death is known to
/// all.
pub fn print() {
    print_heading("Membership, 1 % loss", &MEMBERS);
    let figures = MEMBERS.map(|members| (members as f64, measure(members)));
    let line = |name: &str, value: fn(&FleetFigures) -> f64| {
        let points = figures
            .each_ref()
            .map(|(size, figures)| (*size, value(figures)));
        print_figure(name, "entries", &points);
    };
    line("messages a second, both ways", |figures| figures.messages);
    line("bytes sent a second, most of any member", |figures| {
        figures.sent_bytes
    });
    line("bytes received a second, most of any member", |figures| {
        figures.received_bytes
    });
    line("% of a core, network model included", |figures| {
        figures.core_percent
    });
    line("s until a mark is known to all", |figures| {
        figures.mark_seconds
    });
    line(
        "bytes a second both ways in the 5 s around a mark, most",
        |figures| figures.mark_bytes,
    );
    line(
        "s until a mark is known to all after a cut of a third heals",
        |figures| figures.mark_seconds_after_partition,
    );
    line("s until a dead entry is in no answer", |figures| {
        figures.death_seconds
    });
}

fn measure(members: usize) -> FleetFigures {
    let mut fleet = Fleet::new(members, SEED, LOSS_SHARE);
    fleet.run(WARM_UP_TIME);
    fleet.reset_counts();
    let begin = Instant::now();
    fleet.run(QUIET_TIME);
    let seconds = QUIET_TIME.as_secs_f64();
    let core_percent = 100.0 * begin.elapsed().as_secs_f64() / seconds / members as f64;
    let count: usize = fleet
        .nodes
        .iter()
        .map(|node| node.sent + node.received)
        .sum();
    let sent_bytes = fleet.nodes.iter().map(|node| node.sent_bytes).max();
    let received_bytes = fleet.nodes.iter().map(|node| node.received_bytes).max();
    let (mark_seconds, mark_bytes) = measure_mark(&mut fleet);
    FleetFigures {
        messages: count as f64 / seconds / members as f64,
        sent_bytes: sent_bytes.unwrap_or(0) as f64 / seconds,
        received_bytes: received_bytes.unwrap_or(0) as f64 / seconds,
        core_percent,
        mark_seconds,
        mark_seconds_after_partition: measure_partition(&mut fleet),
        death_seconds: measure_death(&mut fleet),
        mark_bytes,
    }
}

/// Runs the fleet until every member has the target marked as leaving; returns the seconds.
fn seconds_until_marked(fleet: &mut Fleet, target: &str) -> f64 {
    let duration = fleet.run_until_done(SPREAD_TIMEOUT, |fleet| {
        let mut nodes = fleet.nodes.iter();
        nodes.all(|node| node.table.is_target_leaving(target))
    });
    duration.map_or(f64::INFINITY, |duration| duration.as_secs_f64())
}

/// Marks a target as leaving at the first member.
fn mark_target(fleet: &mut Fleet, target: &str) {
    let since = fleet.stamp();
    fleet.call(0, |table, now| {
        table.mark_target_leaving(target, MarkSource::Target, since, now)
    });
}

/// Returns the seconds until a mark is known to all, and the bytes per second, sent and received,
/// of the busiest member in the 5 s from the mark.
fn measure_mark(fleet: &mut Fleet) -> (f64, f64) {
    fleet.reset_counts();
    mark_target(fleet, "engine-017");
    let seconds = seconds_until_marked(fleet, "engine-017");
    fleet.run(Duration::from_secs_f64((5.0 - seconds).max(0.0)));
    let bytes = fleet
        .nodes
        .iter()
        .map(|node| node.sent_bytes + node.received_bytes);
    (seconds, bytes.max().unwrap_or(0) as f64 / 5.0)
}

/// Returns the seconds from the end of a partition until a mark that was made during it is known to
/// all.
fn measure_partition(fleet: &mut Fleet) -> f64 {
    let members = fleet.nodes.len();
    let minority: Vec<usize> = (0..members / 3).collect();
    let majority: Vec<usize> = (members / 3..members).collect();
    fleet.partition(&minority, &majority);
    mark_target(fleet, "engine-018");
    fleet.run(PARTITION_TIME);
    fleet.cut_links.clear();
    seconds_until_marked(fleet, "engine-018")
}

/// Returns the seconds until no member names an entry that has stopped.
fn measure_death(fleet: &mut Fleet) -> f64 {
    fleet.run(PARTITION_TIME);
    fleet.nodes[2].is_dead = true;
    let name = host_name(2);
    let duration = fleet.run_until_done(SPREAD_TIMEOUT, |fleet| {
        let mut running = fleet.nodes.iter().filter(|node| !node.is_dead);
        running.all(|node| !node.table.is_live_entry(&name))
    });
    duration.map_or(f64::INFINITY, |duration| duration.as_secs_f64())
}
