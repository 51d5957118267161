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

/// Period of heartbeats and of the polls that stand in for a held watch.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(300);
/// Number of peers to which each heartbeat is sent.
const HEARTBEAT_FAN_OUT: usize = 3;
/// Time after which an unanswered request counts as failed.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Event that is scheduled at one node.
enum NodeEvent {
    Heartbeat,
    Poll,
    Wakeup,
    Sheet(SheetEvent),
}

/// A simulated daemon.
pub struct Node {
    pub updater: SheetUpdater,
    /// Number of times that the daemon was replaced; events of an earlier generation are dropped.
    generation: u64,
    paused_until: Instant,
    /// Time of the scheduled wakeup.
    wakeup_at: Option<Instant>,
}

/// Simulates daemons, a configuration service and a network with faults, in one thread and on one
/// clock.
pub struct SheetSim {
    pub now: Instant,
    pub nodes: Vec<Node>,
    /// All published sheets, the newest last.
    pub published: Vec<SheetBundle>,
    /// Share of messages that are lost.
    pub loss_share: f64,
    /// Number of versions by which the sheet that the service serves is behind the newest one.
    pub stale_versions: usize,
    /// True if the service answers nobody.
    pub service_down: bool,
    /// Nodes that can reach each other but no node outside this set.
    pub isolated_nodes: BTreeSet<usize>,
    /// Number of times that parts were read from the service.
    pub service_reads: u64,
    assignment: WatchAssignment,
    rng: ChaCha8Rng,
    /// Scheduled events by time and sequence number, with their node and its generation.
    queue: BTreeMap<(Instant, u64), (usize, u64, NodeEvent)>,
    sequence: u64,
}

impl SheetSim {
    /// Creates a fleet of this many nodes in three data centres, without a published sheet.
    pub fn new(node_count: usize, seed: u64) -> Self {
        let now = Instant::now();
        let hosts = (0..node_count).map(|node| (host_name(node), format!("dc{}", node % 3)));
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
            sequence: 0,
        };
        for node in 0..node_count {
            let updater = SheetUpdater::new(host_name(node), now);
            sim.nodes.push(Node {
                updater,
                generation: 0,
                paused_until: now,
                wakeup_at: None,
            });
            sim.start(node);
        }
        sim
    }

    /// Publishes the next version, valid or invalid.
    pub fn publish(&mut self, is_valid: bool) {
        let version = self
            .published
            .last()
            .map_or(1, |last| last.index.version + 1);
        self.published.push(bundle_of(version, 0, is_valid));
    }

    /// Replaces the daemon of a node by a new one without any state.
    pub fn replace(&mut self, node: usize) {
        self.nodes[node].generation += 1;
        self.nodes[node].paused_until = self.now;
        self.nodes[node].wakeup_at = None;
        self.nodes[node].updater = SheetUpdater::new(host_name(node), self.now);
        self.start(node);
    }

    /// Pauses a daemon for this time from now, in place of any earlier pause. Events for the daemon
    /// are delayed until the pause ends.
    pub fn pause(&mut self, node: usize, time: Duration) {
        self.nodes[node].paused_until = self.now + time;
    }

    /// Runs the simulation for the given time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(queue_entry) = self.queue.first_entry() {
            let at = queue_entry.key().0;
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            let (node, generation, node_event) = queue_entry.remove();
            if self.nodes[node].generation != generation {
                continue;
            }
            if self.nodes[node].paused_until > self.now {
                let wait = self.nodes[node].paused_until - self.now;
                self.schedule(node, wait, node_event);
                continue;
            }
            self.run_event(node, node_event);
        }
        self.now = end;
    }

    /// Returns the nodes that are not ready with the given version.
    pub fn nodes_behind(&self, version: u64) -> Vec<usize> {
        let nodes = 0..self.nodes.len();
        nodes
            .filter(|node| {
                let updater = &self.nodes[*node].updater;
                updater.version() != version || !updater.is_ready()
            })
            .collect()
    }

    /// Delivers an event to a node without delay.
    pub fn deliver(&mut self, node: usize, event: SheetEvent) {
        self.schedule(node, Duration::ZERO, NodeEvent::Sheet(event));
    }

    fn start(&mut self, node: usize) {
        let peers = (0..self.nodes.len())
            .filter(|peer| *peer != node)
            .map(host_name);
        let hosts = peers.collect();
        self.deliver(node, SheetEvent::PeersListed { hosts });
        let start_delay = self.rng.random_range(Duration::ZERO..HEARTBEAT_PERIOD);
        self.schedule(node, start_delay, NodeEvent::Heartbeat);
        self.schedule(node, start_delay, NodeEvent::Poll);
    }

    fn schedule(&mut self, node: usize, wait: Duration, node_event: NodeEvent) {
        self.sequence += 1;
        let generation = self.nodes[node].generation;
        self.queue.insert(
            (self.now + wait, self.sequence),
            (node, generation, node_event),
        );
    }

    fn run_event(&mut self, node: usize, node_event: NodeEvent) {
        match node_event {
            NodeEvent::Sheet(event) => self.handle(node, event),
            NodeEvent::Wakeup => {
                self.nodes[node].wakeup_at = None;
                self.handle(node, SheetEvent::Tick);
            }
            NodeEvent::Heartbeat => {
                self.handle(node, SheetEvent::Tick);
                let peers: Vec<usize> =
                    (0..self.nodes.len()).filter(|peer| *peer != node).collect();
                let receivers: Vec<usize> = peers
                    .choose_multiple(&mut self.rng, HEARTBEAT_FAN_OUT)
                    .copied()
                    .collect();
                for peer in receivers {
                    let event = self.sheet_report(node);
                    self.send(node, peer, event);
                }
                self.schedule(node, HEARTBEAT_PERIOD, NodeEvent::Heartbeat);
            }
            NodeEvent::Poll => {
                self.poll(node);
                let host = host_name(node);
                let is_watcher = self.assignment.is_watcher(&host);
                let period = if is_watcher {
                    HEARTBEAT_PERIOD
                } else {
                    self.assignment.poll_interval(&host)
                };
                self.schedule(node, period, NodeEvent::Poll);
            }
        }
    }

    fn poll(&mut self, node: usize) {
        let served_position = self.published.len().checked_sub(1 + self.stale_versions);
        let index = served_position.map(|position| self.published[position].index.clone());
        let event = match index {
            Some(index) if !self.service_down => SheetEvent::IndexRead { index },
            _ => SheetEvent::ServiceFailed,
        };
        let has_sheet = self.nodes[node].updater.version() > 0;
        let read_delay = match has_sheet {
            true => self.assignment.read_delay(&host_name(node)),
            false => Duration::ZERO,
        };
        let wait = self.network_delay() + read_delay;
        self.schedule(node, wait, NodeEvent::Sheet(event));
    }

    fn handle(&mut self, node: usize, event: SheetEvent) {
        let version_before = self.nodes[node].updater.version();
        let actions = self.nodes[node].updater.handle(event, self.now);
        for action in actions {
            match action {
                SheetAction::AskPeers { hosts } => {
                    for host in hosts {
                        self.ask(node, node_of(&host), false);
                    }
                }
                SheetAction::FetchFromPeer { host } => self.ask(node, node_of(&host), true),
                SheetAction::FetchParts { index } => self.read_parts(node, index.version),
                SheetAction::PutInForce { sheet } => {
                    assert!(
                        sheet.version() > version_before,
                        "node {node} went back to an older sheet"
                    );
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
            .wakeup_at
            .is_some_and(|planned| planned <= at);
        if !is_planned {
            let wait = at.saturating_duration_since(self.now);
            self.nodes[node].wakeup_at = Some(at);
            self.schedule(node, wait.max(Duration::from_millis(1)), NodeEvent::Wakeup);
        }
    }

    /// Asks a peer for its sheet, or without `wants_sheet` for its version only. Request and answer
    /// may both be lost.
    fn ask(&mut self, node: usize, peer: usize, wants_sheet: bool) {
        let is_lost = !self.passes_network(node, peer) || !self.passes_network(peer, node);
        let is_paused = self.nodes[peer].paused_until > self.now;
        let wait = self.network_delay() + self.network_delay();
        let event = match self.nodes[peer].updater.bundle() {
            _ if is_lost || is_paused => None,
            Some(bundle) if wants_sheet => Some(SheetEvent::PartsFetched {
                source: SheetSource::Peer(host_name(peer)),
                bundle: bundle.as_ref().clone(),
            }),
            _ => Some(self.sheet_report(peer)),
        };
        match event {
            Some(event) => self.schedule(node, wait, NodeEvent::Sheet(event)),
            None => {
                let event = SheetEvent::PeerFailed {
                    host: host_name(peer),
                };
                self.schedule(node, ANSWER_TIMEOUT, NodeEvent::Sheet(event));
            }
        }
    }

    fn read_parts(&mut self, node: usize, version: u64) {
        let requested = self
            .published
            .iter()
            .find(|bundle| bundle.index.version == version);
        let event = match requested {
            Some(bundle) if !self.service_down => SheetEvent::PartsFetched {
                source: SheetSource::Service,
                bundle: bundle.clone(),
            },
            _ => SheetEvent::ServiceFailed,
        };
        self.service_reads += 1;
        let wait = self.network_delay();
        self.schedule(node, wait, NodeEvent::Sheet(event));
    }

    fn send(&mut self, from: usize, to: usize, event: SheetEvent) {
        if self.passes_network(from, to) {
            let wait = self.network_delay();
            self.schedule(to, wait, NodeEvent::Sheet(event));
        }
    }

    fn passes_network(&mut self, from: usize, to: usize) -> bool {
        let is_cut = self.isolated_nodes.contains(&from) != self.isolated_nodes.contains(&to);
        let is_lost = self.rng.random_bool(self.loss_share);
        !is_cut && !is_lost
    }

    fn sheet_report(&self, node: usize) -> SheetEvent {
        let updater = &self.nodes[node].updater;
        SheetEvent::PeerHasSheet {
            host: host_name(node),
            version: updater.version(),
            digest: updater.digest().to_string(),
        }
    }

    fn network_delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(200..30_000))
    }
}

fn host_name(node: usize) -> String {
    format!("h{node}")
}

fn node_of(host: &str) -> usize {
    host[1..]
        .parse()
        .expect("a host name ends in the number of its node")
}
