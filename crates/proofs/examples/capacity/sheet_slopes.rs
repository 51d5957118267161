use {
    crate::{
        CHANGE_COUNTS, CUSTOMERS, MEMBERS, micros, print_figure, print_heading, sheet_sim::SheetSim,
    },
    proofs::FleetPlan,
    sheet::{FleetSheet, PoolKind, SheetPart, TargetRow, WatchAssignment},
    stand::SheetPublisher,
    std::time::{Duration, Instant},
    wire::{FrameSeal, PeerFrame},
};

const SEED: u64 = 1;
const SEEDS: [u64; 3] = [1, 2, 3];
/// Simulated time in which running fetches can end before the next change.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Duration of a partition during which the service is down.
const PARTITION_TIME: Duration = Duration::from_secs(20);
/// Share of messages that are lost.
const LOSS_SHARE: f64 = 0.01;
/// Maximum simulated time until a change is on every entry.
const SPREAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Simulated time between two checks whether a change is on every entry.
const CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Number of entries of the fleet whose sheet is changed repeatedly.
const CHANGED_FLEET_SIZE: usize = 8;

/// Prints the size of a sheet, the cost of processing it, and how it spreads.
pub fn print() {
    print_heading("Whole sheet with 600 targets and 17 pipelines", &CUSTOMERS);
    let texts_by_size = CUSTOMERS.map(|customers| (customers, part_texts(customers)));
    let points = texts_by_size.each_ref().map(|(size, texts)| {
        let bytes: usize = texts.iter().map(String::len).sum();
        (*size as f64, bytes as f64)
    });
    print_figure("bytes of text", "customers", &points);
    let points = texts_by_size
        .each_ref()
        .map(|(size, texts)| (*size as f64, texts.len() as f64));
    print_figure("parts", "customers", &points);
    let points = texts_by_size.each_ref().map(|(size, texts)| {
        let index = SheetPublisher::build_index(1, texts);
        let text = toml::to_string(&index).expect("the index can be written");
        (*size as f64, text.len() as f64)
    });
    print_figure("bytes of the index", "customers", &points);
    let points = texts_by_size
        .each_ref()
        .map(|(size, texts)| (*size as f64, assemble_micros(texts) / 1e3));
    print_figure("ms to check and assemble", "customers", &points);
    let points = texts_by_size
        .each_ref()
        .map(|(size, texts)| (*size as f64, frame_micros(texts) / 1e3));
    print_figure("ms to encode and open for a peer", "customers", &points);
    print_spread();
    print_changes();
}

/// Returns the rows of a sheet with 600 targets, 17 pipelines and this number of customers.
pub fn sheet_rows(customers: usize) -> SheetPart {
    let mut plan = FleetPlan::new(1);
    for pool in 0..17 {
        let name = format!("pool-{pool:02}");
        plan = plan.pool(&name, PoolKind::Plain, &[]);
        let stage = (name.as_str(), "run");
        plan = plan.pipeline(&format!("pipeline-{pool:02}"), &[stage; 4]);
    }
    for number in 0..customers {
        plan = plan.customer(&format!("customer-{number:05}"), 1);
    }
    let targets = (0..600).map(|number| TargetRow {
        name: format!("target-{number:03}"),
        pool: format!("pool-{:02}", number % 17),
        data_centre: format!("dc-{}", number % 8),
        address: format!("127.0.{}.{}:9", number / 200, number % 200 + 1),
        capacity: 8,
        leaving: false,
        models: Vec::new(),
        checks_orders: false,
    });
    plan.rows.target = targets.collect();
    plan.rows
}

/// Returns the texts of the parts of such a sheet.
pub fn part_texts(customers: usize) -> Vec<String> {
    SheetPublisher::split_parts(&sheet_rows(customers)).expect("rows can be written")
}

/// Returns the sheet that these parts make up.
pub fn assemble(texts: &[String]) -> FleetSheet {
    let index = SheetPublisher::build_index(1, texts);
    FleetSheet::assemble(index, texts).expect("the sheet is right")
}

/// Returns the microseconds in which a sheet is checked and assembled.
fn assemble_micros(texts: &[String]) -> f64 {
    let begin = Instant::now();
    let sheet = assemble(texts);
    let duration_micros = micros(begin.elapsed());
    assert_eq!(sheet.version(), 1);
    duration_micros
}

/// Returns the microseconds in which a frame with a sheet is encoded and decoded.
fn frame_micros(texts: &[String]) -> f64 {
    let seal = FrameSeal::new([7; 32]);
    let frame = PeerFrame::SheetReply {
        index_text: String::new(),
        parts: texts.to_vec(),
        marks: Vec::new(),
    };
    let begin = Instant::now();
    let bytes = seal.encode(&frame).expect("the frame can be written");
    let mut decoder = seal.decoder::<PeerFrame>();
    decoder.push(&bytes);
    assert!(matches!(decoder.next_frame(), Ok(Some(_))));
    micros(begin.elapsed())
}

/// Runs the simulation until every entry has the sheet that was published last; returns the
/// seconds, or the timeout.
fn seconds_until_spread(sim: &mut SheetSim) -> f64 {
    let begin = sim.now;
    let version = sim.published.last().map_or(0, |last| last.index.version);
    while !sim.nodes_behind(version).is_empty() && sim.now - begin < SPREAD_TIMEOUT {
        sim.run(CHECK_PERIOD);
    }
    (sim.now - begin).as_secs_f64()
}

/// Times in seconds and numbers of fetches while a sheet spreads; the worst of all seeds.
#[derive(Default)]
struct SpreadFigures {
    seconds: f64,
    reads: f64,
    seconds_after_partition: f64,
    start_reads: f64,
    poll_reads: f64,
}

fn print_spread() {
    print_heading("Spread of a sheet, 1 % loss, worst of 3 seeds", &MEMBERS);
    let figures = MEMBERS.map(|members| {
        let mut worst = SpreadFigures::default();
        for seed in SEEDS {
            measure_spread(members, seed, &mut worst);
        }
        (members as f64, worst)
    });
    let line = |name: &str, value: fn(&SpreadFigures) -> f64| {
        let points = figures.each_ref().map(|(size, each)| (*size, value(each)));
        print_figure(name, "entries", &points);
    };
    line("s to all", |worst| worst.seconds);
    line(
        "s to all after a cut of a third and a dead service heal",
        |worst| worst.seconds_after_partition,
    );
    line("fetches of the parts from the service", |worst| worst.reads);
    line("fetches of the parts when all start at once", |worst| {
        worst.start_reads
    });
    line(
        "fetches of the parts when the change meets a bunch of polls",
        |worst| worst.poll_reads,
    );
}

/// Returns the fetches of a sheet that is published when entries that started together poll at the
/// same time.
fn poll_reads(members: usize, seed: u64) -> f64 {
    let mut sim = SheetSim::new(members, seed);
    sim.loss_share = LOSS_SHARE;
    sim.publish(true);
    let names = (0..members).map(|host| (format!("h{host}"), format!("dc{}", host % 3)));
    sim.run(WatchAssignment::new(names).mean_poll_interval() * 2);
    sim.service_reads = 0;
    sim.publish(true);
    seconds_until_spread(&mut sim);
    sim.service_reads as f64
}

/// Measures one simulated fleet and raises the figures that it exceeds.
fn measure_spread(members: usize, seed: u64, worst: &mut SpreadFigures) {
    worst.poll_reads = worst.poll_reads.max(poll_reads(members, seed));
    let mut sim = SheetSim::new(members, seed);
    sim.loss_share = LOSS_SHARE;
    sim.publish(true);
    seconds_until_spread(&mut sim);
    worst.start_reads = worst.start_reads.max(sim.service_reads as f64);
    sim.run(SETTLE_TIME);
    sim.service_reads = 0;
    sim.publish(true);
    worst.seconds = worst.seconds.max(seconds_until_spread(&mut sim));
    worst.reads = worst.reads.max(sim.service_reads as f64);
    sim.isolated_nodes = (0..members / 3).collect();
    sim.service_down = true;
    sim.publish(true);
    sim.run(PARTITION_TIME);
    sim.service_down = false;
    sim.isolated_nodes.clear();
    worst.seconds_after_partition = worst
        .seconds_after_partition
        .max(seconds_until_spread(&mut sim));
}

fn print_changes() {
    print_heading("Changes 2 s apart, 8 entries, 1 % loss", &CHANGE_COUNTS);
    let (mut reads, mut nodes_behind) = (Vec::new(), Vec::new());
    for count in CHANGE_COUNTS {
        let mut sim = SheetSim::new(CHANGED_FLEET_SIZE, SEED);
        sim.loss_share = LOSS_SHARE;
        let mut behind_count = 0;
        for _ in 0..count {
            sim.publish(true);
            sim.run(Duration::from_secs(2));
            let version = sim.published.last().map_or(0, |last| last.index.version);
            behind_count += sim.nodes_behind(version).len();
        }
        reads.push((count as f64, sim.service_reads as f64));
        nodes_behind.push((count as f64, behind_count as f64));
    }
    print_figure("fetches of the parts from the service", "changes", &reads);
    print_figure("entries behind after 2 s, summed", "changes", &nodes_behind);
}
