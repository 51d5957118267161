use std::collections::BTreeMap;

/// What one customer has waiting, and what was given to it so far.
#[derive(Debug, Default)]
struct CustomerRow {
    demand: usize,
    taken: usize,
}

/// Divides what a pool can make among customers by max-min fairness: nobody gets less than an equal
/// share unless it asks for less, and what some do not ask for is left to the others.
///
/// ```
/// let mut shares = piece::CustomerShares::default();
/// shares.add_demand(1, 90);
/// shares.add_demand(2, 20);
/// shares.set_capacity(60);
/// // The second one leaves 40 to the first.
/// assert!(!shares.take(1, 40));
/// assert!(shares.take(1, 10));
/// assert!(!shares.take(2, 20));
/// ```
#[derive(Debug, Default)]
pub struct CustomerShares {
    customers: BTreeMap<u64, CustomerRow>,
    capacity: usize,
    /// Largest share of a customer; computed when the first share is taken.
    level: Option<usize>,
}

impl CustomerShares {
    /// Adds pieces that a customer has waiting.
    pub fn add_demand(&mut self, customer: u64, pieces: usize) {
        self.customers.entry(customer).or_default().demand += pieces;
    }

    /// Sets the number of pieces that can be made for all.
    pub fn set_capacity(&mut self, pieces: usize) {
        self.capacity = pieces;
    }

    /// Takes pieces from a customer's share; returns true if it had none left before.
    pub fn take(&mut self, customer: u64, pieces: usize) -> bool {
        let level = self.level();
        let row = self.customers.entry(customer).or_default();
        let is_excess = row.taken >= level;
        row.taken += pieces;
        is_excess
    }

    /// Returns the largest share of a customer: with no share above it, all shares together are what
    /// can be made.
    fn level(&mut self) -> usize {
        if let Some(level) = self.level {
            return level;
        }
        let mut demands: Vec<usize> = self.customers.values().map(|row| row.demand).collect();
        demands.sort_unstable();
        let mut capacity_left = self.capacity;
        let mut level = usize::MAX;
        for (position, demand) in demands.iter().enumerate() {
            let equal_share = capacity_left / (demands.len() - position);
            if *demand > equal_share {
                level = equal_share;
                break;
            }
            capacity_left -= demand;
        }
        self.level = Some(level);
        level
    }
}
