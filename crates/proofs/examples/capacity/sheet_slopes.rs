use {
    crate::{CHANGES, CUSTOMERS, MEMBERS, head, micros, sheet_sim::SheetSim, show},
    proofs::FleetPlan,
    sheet::{FleetSheet, PoolKind, SheetPart, TargetRow, WatchAssignment},
    stand::SheetPublisher,
    std::time::{Duration, Instant},
    wire::{FrameSeal, PeerFrame},
};

const SEED: u64 = 1;
const SEEDS: [u64; 3] = [1, 2, 3];
/// Time that what is under way gets to end before a new change.
const SETTLE: Duration = Duration::from_secs(5);
const CUT: Duration = Duration::from_secs(20);
const LOSS: f64 = 0.01;
/// Longest simulated time to wait for one change.
const LIMIT: Duration = Duration::from_secs(60);
const STEP: Duration = Duration::from_millis(100);
/// Members of the fleet whose sheet changes again and again.
const CHANGED_MEMBERS: usize = 8;

/// What a sheet weighs and how it spreads.
pub fn print() {
    head("Whole sheet with 600 targets and 17 pipelines", &CUSTOMERS);
    let parts = CUSTOMERS.map(|customers| (customers, texts(customers)));
    let points = parts.each_ref().map(|(size, texts)| {
        let bytes: usize = texts.iter().map(String::len).sum();
        (*size as f64, bytes as f64)
    });
    show("bytes of text", "customers", &points);
    let points = parts
        .each_ref()
        .map(|(size, texts)| (*size as f64, texts.len() as f64));
    show("parts", "customers", &points);
    let points = parts.each_ref().map(|(size, texts)| {
        let index = SheetPublisher::build_index(1, texts);
        let text = toml::to_string(&index).expect("the index can be written");
        (*size as f64, text.len() as f64)
    });
    show("bytes of the index", "customers", &points);
    let points = parts
        .each_ref()
        .map(|(size, texts)| (*size as f64, assemble_micros(texts) / 1e3));
    show("ms to check and assemble", "customers", &points);
    let points = parts
        .each_ref()
        .map(|(size, texts)| (*size as f64, frame_micros(texts) / 1e3));
    show("ms to encode and open for a peer", "customers", &points);
    spread();
    changes();
}

/// Rows of a sheet of the size to design for but with so many customers.
pub fn rows(customers: usize) -> SheetPart {
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

/// Texts of the parts of such a sheet.
pub fn texts(customers: usize) -> Vec<String> {
    SheetPublisher::split_parts(&rows(customers)).expect("rows can be written")
}

/// Sheet put together from its parts.
pub fn assemble(texts: &[String]) -> FleetSheet {
    let index = SheetPublisher::build_index(1, texts);
    FleetSheet::assemble(index, texts).expect("the sheet is right")
}

fn assemble_micros(texts: &[String]) -> f64 {
    let begin = Instant::now();
    let sheet = assemble(texts);
    let took = micros(begin.elapsed());
    assert_eq!(sheet.version(), 1);
    took
}

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

/// Seconds until every updater has what was published last.
fn reach(sim: &mut SheetSim) -> f64 {
    let begin = sim.now;
    let version = sim.published.last().map_or(0, |last| last.index.version);
    while !sim.nodes_behind(version).is_empty() && sim.now - begin < LIMIT {
        sim.run(STEP);
    }
    (sim.now - begin).as_secs_f64()
}

/// How one fleet takes sheets; the worst of all seeds is kept.
#[derive(Default)]
struct SpreadFigures {
    plain: f64,
    reads: f64,
    healed: f64,
    cold_reads: f64,
    bunch_reads: f64,
}

fn spread() {
    head("Spread of a sheet, 1 % loss, worst of 3 seeds", &MEMBERS);
    let figures = MEMBERS.map(|members| {
        let mut worst = SpreadFigures::default();
        for seed in SEEDS {
            spread_once(members, seed, &mut worst);
        }
        (members as f64, worst)
    });
    let line = |name: &str, value: fn(&SpreadFigures) -> f64| {
        let points = figures.each_ref().map(|(size, each)| (*size, value(each)));
        show(name, "entries", &points);
    };
    line("s to all", |worst| worst.plain);
    line(
        "s to all after a cut of a third and a dead service heal",
        |worst| worst.healed,
    );
    line("fetches of the parts from the service", |worst| worst.reads);
    line("fetches of the parts when all start at once", |worst| {
        worst.cold_reads
    });
    line(
        "fetches of the parts when the change meets a bunch of polls",
        |worst| worst.bunch_reads,
    );
}

/// Fetches of a sheet that is published as entries that started together poll together.
fn bunch_reads(members: usize, seed: u64) -> f64 {
    let mut sim = SheetSim::new(members, seed);
    sim.loss_share = LOSS;
    sim.publish(true);
    let names = (0..members).map(|host| (format!("h{host}"), format!("dc{}", host % 3)));
    sim.run(WatchAssignment::new(names).poll_period() * 2);
    sim.service_reads = 0;
    sim.publish(true);
    reach(&mut sim);
    sim.service_reads as f64
}

fn spread_once(members: usize, seed: u64, worst: &mut SpreadFigures) {
    worst.bunch_reads = worst.bunch_reads.max(bunch_reads(members, seed));
    let mut sim = SheetSim::new(members, seed);
    sim.loss_share = LOSS;
    sim.publish(true);
    reach(&mut sim);
    worst.cold_reads = worst.cold_reads.max(sim.service_reads as f64);
    sim.run(SETTLE);
    sim.service_reads = 0;
    sim.publish(true);
    worst.plain = worst.plain.max(reach(&mut sim));
    worst.reads = worst.reads.max(sim.service_reads as f64);
    sim.isolated_nodes = (0..members / 3).collect();
    sim.service_down = true;
    sim.publish(true);
    sim.run(CUT);
    sim.service_down = false;
    sim.isolated_nodes.clear();
    worst.healed = worst.healed.max(reach(&mut sim));
}

fn changes() {
    head("Changes 2 s apart, 8 entries, 1 % loss", &CHANGES);
    let (mut reads, mut nodes_behind) = (Vec::new(), Vec::new());
    for count in CHANGES {
        let mut sim = SheetSim::new(CHANGED_MEMBERS, SEED);
        sim.loss_share = LOSS;
        let mut late = 0;
        for _ in 0..count {
            sim.publish(true);
            sim.run(Duration::from_secs(2));
            let version = sim.published.last().map_or(0, |last| last.index.version);
            late += sim.nodes_behind(version).len();
        }
        reads.push((count as f64, sim.service_reads as f64));
        nodes_behind.push((count as f64, late as f64));
    }
    show("fetches of the parts from the service", "changes", &reads);
    show("entries behind after 2 s, summed", "changes", &nodes_behind);
}
