//! Many member tables in one thread, joined by a seeded network with loss, delay, pauses, kills
//! and one-way cuts.

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

/// Bytes of the IP and UDP headers of each datagram.
pub const HEADER_BYTES: usize = 28;
/// Incarnation of every member's first process.
const FIRST_INCARNATION: u64 = 1_700_000_000_000_000;
/// Datagrams that a stopped process finds waiting, at most.
const BACKLOG: usize = 400;

pub struct Fleet {
    pub now: Instant,
    pub nodes: Vec<Node>,
    pub loss: f64,
    pub cut: BTreeSet<(usize, usize)>,
    start: Instant,
    settings: MemberSettings,
    random: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    due: std::collections::HashMap<u64, Due>,
    sequence: u64,
}

pub struct Node {
    pub table: MemberTable,
    pub events: Vec<MemberEvent>,
    pub frozen: bool,
    pub dead: bool,
    pub sent_bytes: usize,
    pub sent: usize,
    pub received_bytes: usize,
    pub received: usize,
    backlog: Vec<(usize, Letter)>,
    next_tick: Option<Instant>,
}

/// A message on its way, with the bytes it takes on the network.
struct Letter {
    message: PeerMessage,
    bytes: usize,
}

enum Due {
    Tick(usize),
    Deliver(usize, usize, Letter),
}

impl Fleet {
    /// Fleet whose members know each other from the host list.
    pub fn new(count: usize, seed: u64, loss: f64) -> Self {
        let now = Instant::now();
        let settings = MemberSettings::default();
        let mut fleet = Self {
            now,
            start: now,
            nodes: Vec::new(),
            loss,
            cut: BTreeSet::new(),
            settings,
            random: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            due: Default::default(),
            sequence: 0,
        };
        for index in 0..count {
            let node = fleet.fresh_node(index, FIRST_INCARNATION);
            fleet.nodes.push(node);
            let phase = fleet.random.random_range(0..500);
            fleet.schedule(now + Duration::from_millis(phase), Due::Tick(index));
        }
        fleet.show_list(0..count, |_| HostState::Live);
        fleet
    }

    /// Shows the list to some members.
    pub fn show_list(
        &mut self,
        observers: impl IntoIterator<Item = usize>,
        state: impl Fn(usize) -> HostState,
    ) {
        let hosts = (0..self.nodes.len())
            .map(|index| row_of(self.nodes[index].table.own(), state(index)))
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

    pub fn stamp(&self) -> HybridTime {
        let elapsed = self.now.duration_since(self.start);
        HybridTime::new(1_000_000 + elapsed.as_micros() as u64, 0)
    }

    pub fn run(&mut self, length: Duration) {
        let end = self.now + length;
        self.run_until(end, |_| false);
    }

    /// Runs until the condition holds, at most for the limit; the answer is the time it took.
    pub fn run_while_not(
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
            match self.due.remove(&sequence) {
                Some(Due::Tick(index)) => self.tick(index, at),
                Some(Due::Deliver(from, to, letter)) => self.deliver(from, to, letter),
                None => {}
            }
        }
        self.now = end;
        done(self)
    }

    /// Lets a stopped process go on: it ticks before it reads what waited for it.
    pub fn thaw(&mut self, index: usize) {
        self.nodes[index].frozen = false;
        let backlog = std::mem::take(&mut self.nodes[index].backlog);
        let actions = self.nodes[index].table.on_tick(self.now);
        self.apply(index, actions);
        for (from, letter) in backlog {
            self.deliver(from, index, letter);
        }
    }

    /// Starts a later process in place of a member.
    pub fn restart(&mut self, index: usize) {
        let incarnation = self.nodes[index].table.own().incarnation + 1_000;
        self.nodes[index] = self.fresh_node(index, incarnation);
        self.schedule(self.now, Due::Tick(index));
        let live = |_| HostState::Live;
        self.show_list([index], live);
    }

    /// Starts a later process that can read no host list and knows only one address.
    pub fn restart_blind(&mut self, index: usize, seed: usize) {
        let incarnation = self.nodes[index].table.own().incarnation + 1_000;
        let settings = self.settings.clone();
        self.settings.seeds = vec![address(seed)];
        self.nodes[index] = self.fresh_node(index, incarnation);
        self.settings = settings;
        self.schedule(self.now, Due::Tick(index));
    }

    /// Cuts both ways between the groups.
    pub fn partition(&mut self, left: &[usize], right: &[usize]) {
        for &one in left {
            for &other in right {
                self.cut.insert((one, other));
                self.cut.insert((other, one));
            }
        }
    }

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

    /// Number of entries in a member's address answers.
    pub fn view(&self, index: usize) -> usize {
        self.nodes[index].table.live_entries().len()
    }

    /// True if every other member has the host in its address answers, or if none has.
    pub fn all_use(&self, host: usize, used: bool) -> bool {
        let name = self::host(host);
        let others = (0..self.nodes.len()).filter(|&index| index != host);
        others
            .map(|index| self.nodes[index].table.is_live_entry(&name))
            .all(|live| live == used)
    }

    fn fresh_node(&self, index: usize, incarnation: u64) -> Node {
        let own = about(index, incarnation);
        let seed = index as u64 + incarnation;
        let table = MemberTable::new(self.settings.clone(), own, seed, self.now);
        Node {
            table,
            events: Vec::new(),
            frozen: false,
            dead: false,
            sent_bytes: 0,
            sent: 0,
            received_bytes: 0,
            received: 0,
            backlog: Vec::new(),
            next_tick: None,
        }
    }

    fn schedule(&mut self, at: Instant, due: Due) {
        self.sequence += 1;
        if let Due::Tick(index) = &due {
            self.nodes[*index].next_tick = Some(at);
        }
        self.due.insert(self.sequence, due);
        self.queue.push(Reverse((at, self.sequence)));
    }

    fn tick(&mut self, index: usize, at: Instant) {
        let node = &mut self.nodes[index];
        if node.next_tick != Some(at) {
            return;
        }
        node.next_tick = None;
        if node.frozen || node.dead {
            return;
        }
        let actions = node.table.on_tick(self.now);
        self.apply(index, actions);
    }

    fn deliver(&mut self, from: usize, to: usize, letter: Letter) {
        let node = &mut self.nodes[to];
        if node.dead {
            return;
        }
        if node.frozen {
            if node.backlog.len() < BACKLOG {
                node.backlog.push((from, letter));
            }
            return;
        }
        node.received += 1;
        node.received_bytes += letter.bytes;
        let actions = node
            .table
            .on_datagram(letter.message, address(from), self.now);
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
            self.schedule(wakeup, Due::Tick(index));
        }
    }

    fn send(&mut self, from: usize, to: &str, message: PeerMessage) {
        let bytes = DatagramSeal::sealed_bytes(&message);
        assert!(bytes <= MAX_DATAGRAM_BYTES, "datagram of {bytes} bytes");
        self.nodes[from].sent += 1;
        let bytes = bytes + HEADER_BYTES;
        self.nodes[from].sent_bytes += bytes;
        let to = index_of(to);
        if self.cut.contains(&(from, to)) || self.random.random_bool(self.loss) {
            return;
        }
        let delay = Duration::from_micros(self.random.random_range(200..5_000));
        self.schedule(
            self.now + delay,
            Due::Deliver(from, to, Letter { message, bytes }),
        );
    }
}
