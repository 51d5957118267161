use {base::RequestPriority, std::collections::BTreeSet};

/// Number of priorities.
const CLASSES: usize = 3;
/// Calls of the same customer that may overtake a waiting call of a class, urgent first.
const OVERTAKES: [u32; CLASSES] = [0, 8, 16];

/// What one customer has waiting.
#[derive(Debug, Clone, Default)]
pub(crate) struct CustomerLane {
    pub weight: f64,
    /// Virtual time at which the customer's next call is due.
    pub tag: f64,
    costs: [f64; CLASSES],
    waiting: [BTreeSet<u64>; CLASSES],
    overtaken: [u32; CLASSES],
}

impl CustomerLane {
    pub fn is_empty(&self) -> bool {
        self.waiting.iter().all(BTreeSet::is_empty)
    }

    /// Target-seconds that wait.
    pub fn cost(&self) -> f64 {
        self.costs.iter().sum()
    }

    /// Target-seconds that wait and are at least so urgent.
    pub fn cost_ahead_of(&self, priority: RequestPriority) -> f64 {
        self.costs[..=class_of(priority)].iter().sum()
    }

    pub fn insert(&mut self, priority: RequestPriority, place: u64, cost: f64) {
        let class = class_of(priority);
        self.waiting[class].insert(place);
        self.costs[class] += cost;
    }

    pub fn remove(&mut self, priority: RequestPriority, place: u64, cost: f64) {
        let class = class_of(priority);
        self.waiting[class].remove(&place);
        self.costs[class] -= cost;
        if self.waiting[class].is_empty() {
            self.costs[class] = 0.0;
            self.overtaken[class] = 0;
        }
    }

    /// The call that goes next: the most urgent one, unless others have waited past too many.
    pub fn head(&self) -> Option<(RequestPriority, u64)> {
        let due = |class: &usize| self.overtaken[*class] >= OVERTAKES[*class].max(1);
        let filled = |class: &usize| !self.waiting[*class].is_empty();
        let late = (0..CLASSES).rev().filter(filled).find(due);
        let class = late.or_else(|| (0..CLASSES).find(filled))?;
        let place = self.waiting[class].first()?;
        Some((priority_of(class), *place))
    }

    /// Records that a call of this class goes ahead of the lower ones.
    pub fn overtake(&mut self, priority: RequestPriority) {
        let served = class_of(priority);
        self.overtaken[served] = 0;
        for class in served + 1..CLASSES {
            if !self.waiting[class].is_empty() {
                self.overtaken[class] += 1;
            }
        }
    }

    /// The call that is missed least: the latest one of the least urgent class.
    pub fn tail(&self) -> Option<(RequestPriority, u64)> {
        let class = (0..CLASSES)
            .rev()
            .find(|&class| !self.waiting[class].is_empty())?;
        let place = self.waiting[class].last()?;
        Some((priority_of(class), *place))
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
