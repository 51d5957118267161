//! Simulation of a fleet in one thread: many member tables, joined by a seeded network model with
//! loss, delay, pauses, kills and one-way cuts.

#![allow(dead_code)]

mod names;

pub use names::*;

use {
    base::{HostList, HostState},
    member::{MemberAction, MemberEvent, MemberSettings, MemberTable},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    stamp::HybridTime,
    std::{
        cmp::Reverse,
        collections::{BTreeSet, BinaryHeap},
        time::{Duration, Instant},
    },
    wire::{DatagramSeal, MAX_DATAGRAM_BYTES, PeerMessage},
};

/// Size of the IP and UDP headers of each datagram.
pub const HEADER_BYTES: usize = 28;
/// Incarnation of the first process of every member.
const FIRST_INCARNATION: u64 = 1_700_000_000_000_000;
/// Limit of the datagrams that the socket of a paused process holds.
const MAX_BACKLOG: usize = 400;

/// Simulated fleet.
pub struct Fleet {
    /// Simulated time.
    pub now: Instant,
    pub nodes: Vec<Node>,
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Links that carry no datagrams, as sender and receiver.
    pub cut_links: BTreeSet<(usize, usize)>,
    start: Instant,
    settings: MemberSettings,
    random: ChaCha8Rng,
    /// Times and sequence numbers of the scheduled events.
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    /// Scheduled events by sequence number.
    events: std::collections::HashMap<u64, ScheduledEvent>,
    sequence: u64,
}

/// One member of the fleet.
pub struct Node {
    pub table: MemberTable,
    pub events: Vec<MemberEvent>,
    pub is_paused: bool,
    pub is_dead: bool,
    pub sent_bytes: usize,
    pub sent: usize,
    pub received_bytes: usize,
    pub received: usize,
    /// Sender and content of datagrams that arrived while the process was paused.
    backlog: Vec<(usize, Datagram)>,
    next_tick: Option<Instant>,
}

/// Datagram in flight, with its size on the network.
struct Datagram {
    message: PeerMessage,
    bytes: usize,
}

/// Event that the simulation runs at its time.
enum ScheduledEvent {
    /// Tick of the member with this index.
    Tick(usize),
    /// Delivery of a datagram: sender, receiver.
    Deliver(usize, usize, Datagram),
}

impl Fleet {
    /// Creates a fleet whose members know each other from the host list.
    pub fn new(count: usize, seed: u64, loss: f64) -> Self {
        let now = Instant::now();
        let settings = MemberSettings::default();
        let mut fleet = Self {
            now,
            start: now,
            nodes: Vec::new(),
            loss,
            cut_links: BTreeSet::new(),
            settings,
            random: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: Default::default(),
            sequence: 0,
        };
        for index in 0..count {
            let node = fleet.new_node(index, FIRST_INCARNATION);
            fleet.nodes.push(node);
            let first_tick_ms = fleet.random.random_range(0..500);
            fleet.schedule(
                now + Duration::from_millis(first_tick_ms),
                ScheduledEvent::Tick(index),
            );
        }
        fleet.deliver_list(0..count, |_| HostState::Live);
        fleet
    }

    /// Gives the members `observers` a host list with the states that `state` returns by index.
    pub fn deliver_list(
        &mut self,
        observers: impl IntoIterator<Item = usize>,
        state: impl Fn(usize) -> HostState,
    ) {
        let hosts = (0..self.nodes.len())
            .map(|index| list_row(self.nodes[index].table.own(), state(index)))
            .collect();
        let list = HostList {
            hosts,
            targets: Vec::new(),
        };
        for observer in observers {
            let since = self.stamp();
            let node = &mut self.nodes[observer];
            let actions = node.table.on_host_list(list.clone(), since, self.now);
            self.apply(observer, actions);
        }
    }

    /// Returns a hybrid time that advances with the simulated time.
    pub fn stamp(&self) -> HybridTime {
        let elapsed = self.now.duration_since(self.start);
        HybridTime::new(1_000_000 + elapsed.as_micros() as u64, 0)
    }

    pub fn run(&mut self, length: Duration) {
        let end = self.now + length;
        self.run_until(end, |_| false);
    }

    /// Runs until the condition holds and returns the time that took, or `None` after the limit.
    pub fn run_until_done(
        &mut self,
        limit: Duration,
        done: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        let reached = self.run_until(start + limit, done);
        reached.then(|| self.now - start)
    }

    fn run_until(&mut self, end: Instant, done: impl Fn(&Self) -> bool) -> bool {
        let mut next_check = self.now;
        while let Some(&Reverse((at, sequence))) = self.queue.peek() {
            if at >= next_check {
                if done(self) {
                    return true;
                }
                next_check = at + Duration::from_millis(50);
            }
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            match self.events.remove(&sequence) {
                Some(ScheduledEvent::Tick(index)) => self.tick(index, at),
                Some(ScheduledEvent::Deliver(from, to, datagram)) => {
                    self.deliver(from, to, datagram)
                }
                None => {}
            }
        }
        self.now = end;
        done(self)
    }

    /// Resumes a paused process. The process ticks before it reads the datagrams that arrived in the
    /// pause.
    pub fn resume(&mut self, index: usize) {
        self.nodes[index].is_paused = false;
        let backlog = std::mem::take(&mut self.nodes[index].backlog);
        let actions = self.nodes[index].table.on_tick(self.now);
        self.apply(index, actions);
        for (from, datagram) in backlog {
            self.deliver(from, index, datagram);
        }
    }

    /// Replaces a member by a later process, which reads a host list.
    pub fn restart(&mut self, index: usize) {
        let incarnation = self.nodes[index].table.own().incarnation + 1_000;
        self.nodes[index] = self.new_node(index, incarnation);
        self.schedule(self.now, ScheduledEvent::Tick(index));
        let live = |_| HostState::Live;
        self.deliver_list([index], live);
    }

    /// Replaces a member by a later process that can read no host list and knows only the address of
    /// the member `seed_index`.
    pub fn restart_without_list(&mut self, index: usize, seed_index: usize) {
        let incarnation = self.nodes[index].table.own().incarnation + 1_000;
        let settings = self.settings.clone();
        self.settings.seeds = vec![address(seed_index)];
        self.nodes[index] = self.new_node(index, incarnation);
        self.settings = settings;
        self.schedule(self.now, ScheduledEvent::Tick(index));
    }

    /// Cuts the links between two groups in both directions.
    pub fn partition(&mut self, left: &[usize], right: &[usize]) {
        for &one in left {
            for &other in right {
                self.cut_links.insert((one, other));
                self.cut_links.insert((other, one));
            }
        }
    }

    /// Calls a member's table and carries out the actions that it returns.
    pub fn call(
        &mut self,
        index: usize,
        call: impl FnOnce(&mut MemberTable, Instant) -> Vec<MemberAction>,
    ) {
        let actions = call(&mut self.nodes[index].table, self.now);
        self.apply(index, actions);
    }

    pub fn reset_counts(&mut self) {
        for node in &mut self.nodes {
            (node.sent, node.sent_bytes) = (0, 0);
            (node.received, node.received_bytes) = (0, 0);
        }
    }

    /// Returns the number of entries in a member's address answers.
    pub fn view_size(&self, index: usize) -> usize {
        self.nodes[index].table.live_entries().len()
    }

    /// True if all other members have the host in their address answers (with `is_live`), or if none
    /// of them has (without).
    pub fn all_see_live(&self, host: usize, is_live: bool) -> bool {
        let name = host_name(host);
        let others = (0..self.nodes.len()).filter(|&index| index != host);
        others
            .map(|index| self.nodes[index].table.is_live_entry(&name))
            .all(|live| live == is_live)
    }

    fn new_node(&self, index: usize, incarnation: u64) -> Node {
        let own = describe_member(index, incarnation);
        let seed = index as u64 + incarnation;
        let table = MemberTable::new(self.settings.clone(), own, seed, self.now);
        Node {
            table,
            events: Vec::new(),
            is_paused: false,
            is_dead: false,
            sent_bytes: 0,
            sent: 0,
            received_bytes: 0,
            received: 0,
            backlog: Vec::new(),
            next_tick: None,
        }
    }

    fn schedule(&mut self, at: Instant, event: ScheduledEvent) {
        self.sequence += 1;
        if let ScheduledEvent::Tick(index) = &event {
            self.nodes[*index].next_tick = Some(at);
        }
        self.events.insert(self.sequence, event);
        self.queue.push(Reverse((at, self.sequence)));
    }

    fn tick(&mut self, index: usize, at: Instant) {
        let node = &mut self.nodes[index];
        if node.next_tick != Some(at) {
            return;
        }
        node.next_tick = None;
        if node.is_paused || node.is_dead {
            return;
        }
        let actions = node.table.on_tick(self.now);
        self.apply(index, actions);
    }

    fn deliver(&mut self, from: usize, to: usize, datagram: Datagram) {
        let node = &mut self.nodes[to];
        if node.is_dead {
            return;
        }
        if node.is_paused {
            if node.backlog.len() < MAX_BACKLOG {
                node.backlog.push((from, datagram));
            }
            return;
        }
        node.received += 1;
        node.received_bytes += datagram.bytes;
        let actions = node
            .table
            .on_datagram(datagram.message, address(from), self.now);
        self.apply(to, actions);
    }

    fn apply(&mut self, index: usize, actions: Vec<MemberAction>) {
        for action in actions {
            match action {
                MemberAction::Send { to, message } => self.send(index, &to, message),
                MemberAction::Changed(event) => self.nodes[index].events.push(event),
            }
        }
        let wakeup = self.nodes[index].table.next_wakeup(self.now);
        let wakeup = wakeup.max(self.now + Duration::from_micros(100));
        if self.nodes[index].next_tick.is_none_or(|next| wakeup < next) {
            self.schedule(wakeup, ScheduledEvent::Tick(index));
        }
    }

    fn send(&mut self, from: usize, to: &str, message: PeerMessage) {
        let bytes = DatagramSeal::sealed_bytes(&message);
        assert!(bytes <= MAX_DATAGRAM_BYTES, "datagram of {bytes} bytes");
        self.nodes[from].sent += 1;
        let bytes = bytes + HEADER_BYTES;
        self.nodes[from].sent_bytes += bytes;
        let to = index_of_address(to);
        if self.cut_links.contains(&(from, to)) || self.random.random_bool(self.loss) {
            return;
        }
        let delay = Duration::from_micros(self.random.random_range(200..5_000));
        self.schedule(
            self.now + delay,
            ScheduledEvent::Deliver(from, to, Datagram { message, bytes }),
        );
    }
}
