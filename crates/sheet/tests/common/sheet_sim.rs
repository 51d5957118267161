use {
    crate::common::bundle_of,
    rand::{Rng, SeedableRng, seq::IndexedRandom},
    rand_chacha::ChaCha8Rng,
    sheet::{SheetAction, SheetBundle, SheetEvent, SheetSource, SheetUpdater, WatchAssignment},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Period of heartbeats and of the look that stands for a held watch.
const BEAT: Duration = Duration::from_millis(300);
/// Peers that get one heartbeat.
const FAN_OUT: usize = 3;
/// Time after which an unanswered question counts as failed.
const ANSWER_LIMIT: Duration = Duration::from_millis(400);

/// Something that happens at one node.
enum Job {
    Beat,
    Poll,
    Wake,
    Event(SheetEvent),
}

/// A daemon of the world.
pub struct Node {
    pub updater: SheetUpdater,
    life: u64,
    paused_until: Instant,
    wake_at: Option<Instant>,
}

/// Daemons, a configuration service and a network with faults, in one thread and one clock.
pub struct SheetSim {
    pub now: Instant,
    pub nodes: Vec<Node>,
    /// All that was published, the newest last.
    pub published: Vec<SheetBundle>,
    /// Share of messages that are lost.
    pub loss_share: f64,
    /// Bundles that the service serves are this many versions old.
    pub stale_versions: usize,
    /// True if the service answers nobody.
    pub service_down: bool,
    /// Nodes that cannot reach the others, which cannot reach them.
    pub isolated_nodes: BTreeSet<usize>,
    /// Reads that the service answered.
    pub service_reads: u64,
    assignment: WatchAssignment,
    rng: ChaCha8Rng,
    queue: BTreeMap<(Instant, u64), (usize, u64, Job)>,
    count: u64,
}

impl SheetSim {
    pub fn new(nodes: usize, seed: u64) -> Self {
        let now = Instant::now();
        let hosts = (0..nodes).map(|node| (name(node), format!("dc{}", node % 3)));
        let mut sim = Self {
            now,
            nodes: Vec::new(),
            published: Vec::new(),
            loss_share: 0.0,
            stale_versions: 0,
            service_down: false,
            isolated_nodes: BTreeSet::new(),
            service_reads: 0,
            assignment: WatchAssignment::new(hosts),
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            count: 0,
        };
        for node in 0..nodes {
            let updater = SheetUpdater::new(name(node), now);
            sim.nodes.push(Node {
                updater,
                life: 0,
                paused_until: now,
                wake_at: None,
            });
            sim.start(node);
        }
        sim
    }

    /// Publishes the next version.
    pub fn publish(&mut self, good: bool) {
        let version = self
            .published
            .last()
            .map_or(1, |last| last.index.version + 1);
        self.published.push(bundle_of(version, 0, good));
    }

    /// Replaces the daemon of a node by a new one that knows nothing.
    pub fn replace(&mut self, node: usize) {
        self.nodes[node].life += 1;
        self.nodes[node].paused_until = self.now;
        self.nodes[node].wake_at = None;
        self.nodes[node].updater = SheetUpdater::new(name(node), self.now);
        self.start(node);
    }

    /// Stops a daemon for a while; what reaches it waits.
    pub fn pause(&mut self, node: usize, time: Duration) {
        self.nodes[node].paused_until = self.now + time;
    }

    /// Runs for a while.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.queue.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            let (node, life, job) = entry.remove();
            if self.nodes[node].life != life {
                continue;
            }
            if self.nodes[node].paused_until > self.now {
                let wait = self.nodes[node].paused_until - self.now;
                self.put(node, wait, job);
                continue;
            }
            self.work(node, job);
        }
        self.now = end;
    }

    /// Nodes that are not ready with the given version.
    pub fn nodes_behind(&self, version: u64) -> Vec<usize> {
        let nodes = 0..self.nodes.len();
        nodes
            .filter(|node| {
                let updater = &self.nodes[*node].updater;
                updater.version() != version || !updater.is_ready()
            })
            .collect()
    }

    /// Hands an event to a node at once.
    pub fn tell(&mut self, node: usize, event: SheetEvent) {
        self.put(node, Duration::ZERO, Job::Event(event));
    }

    fn start(&mut self, node: usize) {
        let peers = (0..self.nodes.len()).filter(|peer| *peer != node).map(name);
        let hosts = peers.collect();
        self.tell(node, SheetEvent::PeersListed { hosts });
        let phase = self.rng.random_range(Duration::ZERO..BEAT);
        self.put(node, phase, Job::Beat);
        self.put(node, phase, Job::Poll);
    }

    fn put(&mut self, node: usize, wait: Duration, job: Job) {
        self.count += 1;
        let life = self.nodes[node].life;
        self.queue
            .insert((self.now + wait, self.count), (node, life, job));
    }

    fn work(&mut self, node: usize, job: Job) {
        match job {
            Job::Event(event) => self.handle(node, event),
            Job::Wake => {
                self.nodes[node].wake_at = None;
                self.handle(node, SheetEvent::Tick);
            }
            Job::Beat => {
                self.handle(node, SheetEvent::Tick);
                let peers: Vec<usize> =
                    (0..self.nodes.len()).filter(|peer| *peer != node).collect();
                let chosen: Vec<usize> = peers
                    .choose_multiple(&mut self.rng, FAN_OUT)
                    .copied()
                    .collect();
                for peer in chosen {
                    let event = self.word_of(node);
                    self.send(node, peer, event);
                }
                self.put(node, BEAT, Job::Beat);
            }
            Job::Poll => {
                self.poll(node);
                let host = name(node);
                let watches = self.assignment.is_watcher(&host);
                let period = if watches {
                    BEAT
                } else {
                    self.assignment.poll_pause(&host)
                };
                self.put(node, period, Job::Poll);
            }
        }
    }

    fn poll(&mut self, node: usize) {
        let served = self.published.len().checked_sub(1 + self.stale_versions);
        let index = served.map(|place| self.published[place].index.clone());
        let event = match index {
            Some(index) if !self.service_down => SheetEvent::IndexRead { index },
            _ => SheetEvent::ServiceFailed,
        };
        let has_sheet = self.nodes[node].updater.version() > 0;
        let late = match has_sheet {
            true => self.assignment.read_delay(&name(node)),
            false => Duration::ZERO,
        };
        let wait = self.delay() + late;
        self.put(node, wait, Job::Event(event));
    }

    fn handle(&mut self, node: usize, event: SheetEvent) {
        let before = self.nodes[node].updater.version();
        let actions = self.nodes[node].updater.handle(event, self.now);
        for action in actions {
            match action {
                SheetAction::AskPeers { hosts } => {
                    for host in hosts {
                        self.ask(node, number(&host), false);
                    }
                }
                SheetAction::FetchFromPeer { host } => self.ask(node, number(&host), true),
                SheetAction::FetchParts { index } => self.read_parts(node, index.version),
                SheetAction::PutInForce { sheet } => {
                    assert!(sheet.version() > before, "node {node} went back");
                }
                SheetAction::Report { .. } => {}
            }
        }
        self.plan_wakeup(node);
    }

    fn plan_wakeup(&mut self, node: usize) {
        let Some(at) = self.nodes[node].updater.next_wakeup(self.now) else {
            return;
        };
        let is_planned = self.nodes[node]
            .wake_at
            .is_some_and(|planned| planned <= at);
        if !is_planned {
            let wait = at.saturating_duration_since(self.now);
            self.nodes[node].wake_at = Some(at);
            self.put(node, wait.max(Duration::from_millis(1)), Job::Wake);
        }
    }

    /// A question to a peer and its answer, either of which may be lost.
    fn ask(&mut self, node: usize, peer: usize, whole: bool) {
        let lost = !self.passes(node, peer) || !self.passes(peer, node);
        let paused = self.nodes[peer].paused_until > self.now;
        let wait = self.delay() + self.delay();
        let event = match self.nodes[peer].updater.bundle() {
            _ if lost || paused => None,
            Some(bundle) if whole => Some(SheetEvent::PartsFetched {
                source: SheetSource::Peer(name(peer)),
                bundle: bundle.as_ref().clone(),
            }),
            _ => Some(self.word_of(peer)),
        };
        match event {
            Some(event) => self.put(node, wait, Job::Event(event)),
            None => {
                let event = SheetEvent::PeerFailed { host: name(peer) };
                self.put(node, ANSWER_LIMIT, Job::Event(event));
            }
        }
    }

    fn read_parts(&mut self, node: usize, version: u64) {
        let found = self
            .published
            .iter()
            .find(|bundle| bundle.index.version == version);
        let event = match found {
            Some(bundle) if !self.service_down => SheetEvent::PartsFetched {
                source: SheetSource::Service,
                bundle: bundle.clone(),
            },
            _ => SheetEvent::ServiceFailed,
        };
        self.service_reads += 1;
        let wait = self.delay();
        self.put(node, wait, Job::Event(event));
    }

    fn send(&mut self, from: usize, to: usize, event: SheetEvent) {
        if self.passes(from, to) {
            let wait = self.delay();
            self.put(to, wait, Job::Event(event));
        }
    }

    fn passes(&mut self, from: usize, to: usize) -> bool {
        let cut = self.isolated_nodes.contains(&from) != self.isolated_nodes.contains(&to);
        let lost = self.rng.random_bool(self.loss_share);
        !cut && !lost
    }

    fn word_of(&self, node: usize) -> SheetEvent {
        let updater = &self.nodes[node].updater;
        SheetEvent::PeerHas {
            host: name(node),
            version: updater.version(),
            digest: updater.digest().to_string(),
        }
    }

    fn delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(200..30_000))
    }
}

fn name(node: usize) -> String {
    format!("h{node}")
}

fn number(host: &str) -> usize {
    host[1..]
        .parse()
        .expect("names of nodes end in their number")
}
