use {base::RequestPriority, std::collections::BTreeSet};

/// Number of priority classes; class 0 is the most urgent.
const PRIORITY_COUNT: usize = 3;
/// Number of more urgent calls of the same customer that may overtake the waiting calls of a class,
/// by class.
const OVERTAKE_LIMITS: [u32; PRIORITY_COUNT] = [0, 8, 16];

/// Waiting calls of one customer, by priority.
#[derive(Debug, Clone, Default)]
pub(crate) struct CustomerQueue {
    /// Weight of the customer relative to the others.
    pub weight: f64,
    /// Virtual start time of the customer's next call, in target-seconds per weight.
    pub start_tag: f64,
    /// Total cost of the waiting calls in target-seconds, by class.
    costs: [f64; PRIORITY_COUNT],
    /// Sequence numbers of the waiting calls, by class.
    waiting: [BTreeSet<u64>; PRIORITY_COUNT],
    /// Number of calls that have overtaken each class since a call of this class was last served.
    overtake_counts: [u32; PRIORITY_COUNT],
}

impl CustomerQueue {
    pub fn is_empty(&self) -> bool {
        self.waiting.iter().all(BTreeSet::is_empty)
    }

    /// Returns the total cost of the waiting calls in target-seconds.
    pub fn cost(&self) -> f64 {
        self.costs.iter().sum()
    }

    /// Returns the total cost of the waiting calls of this or a more urgent priority, in
    /// target-seconds.
    pub fn cost_ahead_of(&self, priority: RequestPriority) -> f64 {
        self.costs[..=class_of(priority)].iter().sum()
    }

    pub fn insert(&mut self, priority: RequestPriority, sequence: u64, cost: f64) {
        let class = class_of(priority);
        self.waiting[class].insert(sequence);
        self.costs[class] += cost;
    }

    pub fn remove(&mut self, priority: RequestPriority, sequence: u64, cost: f64) {
        let class = class_of(priority);
        self.waiting[class].remove(&sequence);
        self.costs[class] -= cost;
        if self.waiting[class].is_empty() {
            self.costs[class] = 0.0;
            self.overtake_counts[class] = 0;
        }
    }

    /// Returns the call to serve next: the most urgent one, unless a less urgent class has been
    /// overtaken as often as its limit allows.
    pub fn next_call(&self) -> Option<(RequestPriority, u64)> {
        let is_due = |class: &usize| self.overtake_counts[*class] >= OVERTAKE_LIMITS[*class].max(1);
        let has_waiting = |class: &usize| !self.waiting[*class].is_empty();
        let overdue = (0..PRIORITY_COUNT).rev().filter(has_waiting).find(is_due);
        let class = overdue.or_else(|| (0..PRIORITY_COUNT).find(has_waiting))?;
        let sequence = self.waiting[class].first()?;
        Some((priority_of(class), *sequence))
    }

    /// Records that a call of this priority is served before the waiting calls of less urgent ones.
    pub fn record_overtake(&mut self, priority: RequestPriority) {
        let served = class_of(priority);
        self.overtake_counts[served] = 0;
        for class in served + 1..PRIORITY_COUNT {
            if !self.waiting[class].is_empty() {
                self.overtake_counts[class] += 1;
            }
        }
    }

    /// Returns the call to evict first: the latest one of the least urgent class.
    pub fn eviction_candidate(&self) -> Option<(RequestPriority, u64)> {
        let class = (0..PRIORITY_COUNT)
            .rev()
            .find(|&class| !self.waiting[class].is_empty())?;
        let sequence = self.waiting[class].last()?;
        Some((priority_of(class), *sequence))
    }
}

fn class_of(priority: RequestPriority) -> usize {
    match priority {
        RequestPriority::Urgent => 0,
        RequestPriority::Normal => 1,
        RequestPriority::Bulk => 2,
    }
}

fn priority_of(class: usize) -> RequestPriority {
    match class {
        0 => RequestPriority::Urgent,
        1 => RequestPriority::Normal,
        _ => RequestPriority::Bulk,
    }
}
