use {
    crate::{
        MEMBERS,
        fleet::{Fleet, host_name},
        head, show,
    },
    std::time::{Duration, Instant},
    wire::MarkSource,
};

const SEED: u64 = 1;
const LOSS: f64 = 0.01;
const WARM_UP: Duration = Duration::from_secs(20);
const QUIET: Duration = Duration::from_secs(20);
const CUT: Duration = Duration::from_secs(15);
const LIMIT: Duration = Duration::from_secs(60);

/// What one fleet costs.
struct FleetFigures {
    messages: f64,
    sent: f64,
    received: f64,
    core: f64,
    mark: f64,
    healed: f64,
    death: f64,
    busy: f64,
}

/// Cost of membership for one member and the time until a mark is known to all.
pub fn print() {
    head("Membership, 1 % loss", &MEMBERS);
    let figures = MEMBERS.map(|members| (members as f64, measure(members)));
    let line = |name: &str, value: fn(&FleetFigures) -> f64| {
        let points = figures
            .each_ref()
            .map(|(size, figures)| (*size, value(figures)));
        show(name, "entries", &points);
    };
    line("messages a second, both ways", |figures| figures.messages);
    line("bytes sent a second, most of any member", |figures| {
        figures.sent
    });
    line("bytes received a second, most of any member", |figures| {
        figures.received
    });
    line("% of a core, network model included", |figures| {
        figures.core
    });
    line("s until a mark is known to all", |figures| figures.mark);
    line(
        "bytes a second both ways in the 5 s around a mark, most",
        |figures| figures.busy,
    );
    line(
        "s until a mark is known to all after a cut of a third heals",
        |figures| figures.healed,
    );
    line("s until a dead entry is in no answer", |figures| {
        figures.death
    });
}

fn measure(members: usize) -> FleetFigures {
    let mut fleet = Fleet::new(members, SEED, LOSS);
    fleet.run(WARM_UP);
    fleet.reset_counts();
    let begin = Instant::now();
    fleet.run(QUIET);
    let seconds = QUIET.as_secs_f64();
    let core = 100.0 * begin.elapsed().as_secs_f64() / seconds / members as f64;
    let count: usize = fleet
        .nodes
        .iter()
        .map(|node| node.sent + node.received)
        .sum();
    let sent = fleet.nodes.iter().map(|node| node.sent_bytes).max();
    let received = fleet.nodes.iter().map(|node| node.received_bytes).max();
    let (mark, busy) = mark(&mut fleet);
    FleetFigures {
        messages: count as f64 / seconds / members as f64,
        sent: sent.unwrap_or(0) as f64 / seconds,
        received: received.unwrap_or(0) as f64 / seconds,
        core,
        mark,
        healed: heal(&mut fleet),
        death: die(&mut fleet),
        busy,
    }
}

fn reach(fleet: &mut Fleet, target: &str) -> f64 {
    let took = fleet.run_until_done(LIMIT, |fleet| {
        let mut nodes = fleet.nodes.iter();
        nodes.all(|node| node.table.is_target_leaving(target))
    });
    took.map_or(f64::INFINITY, |took| took.as_secs_f64())
}

fn say(fleet: &mut Fleet, target: &str) {
    let since = fleet.stamp();
    fleet.call(0, |table, now| {
        table.mark_target_leaving(target, MarkSource::Target, since, now)
    });
}

fn mark(fleet: &mut Fleet) -> (f64, f64) {
    fleet.reset_counts();
    say(fleet, "engine-017");
    let took = reach(fleet, "engine-017");
    fleet.run(Duration::from_secs_f64((5.0 - took).max(0.0)));
    let bytes = fleet
        .nodes
        .iter()
        .map(|node| node.sent_bytes + node.received_bytes);
    (took, bytes.max().unwrap_or(0) as f64 / 5.0)
}

fn heal(fleet: &mut Fleet) -> f64 {
    let members = fleet.nodes.len();
    let few: Vec<usize> = (0..members / 3).collect();
    let many: Vec<usize> = (members / 3..members).collect();
    fleet.partition(&few, &many);
    say(fleet, "engine-018");
    fleet.run(CUT);
    fleet.cut_links.clear();
    reach(fleet, "engine-018")
}

fn die(fleet: &mut Fleet) -> f64 {
    fleet.run(CUT);
    fleet.nodes[2].is_dead = true;
    let name = host_name(2);
    let took = fleet.run_until_done(LIMIT, |fleet| {
        let mut running = fleet.nodes.iter().filter(|node| !node.is_dead);
        running.all(|node| !node.table.is_live_entry(&name))
    });
    took.map_or(f64::INFINITY, |took| took.as_secs_f64())
}
