use {crate::dialect::StoreItem, plan::StorePosition, std::collections::VecDeque};

/// Number of batches of changes that are kept; a peer that lacks older ones gets a snapshot.
const MAX_BATCHES: usize = 64;

/// Changes between two positions of the store's history.
#[derive(Debug, Clone)]
struct ChangeBatch {
    from: StorePosition,
    to: StorePosition,
    items: Vec<StoreItem>,
}

/// The latest changes of the store, so that peers which know an earlier position can catch up.
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// Batches without a gap between them, oldest first.
    batches: VecDeque<ChangeBatch>,
}

impl ChangeLog {
    /// Adds the changes after `from` up to `to`.
    pub fn record(&mut self, from: StorePosition, to: StorePosition, items: Vec<StoreItem>) {
        if from == to {
            return;
        }
        if self.batches.back().is_some_and(|last| last.to != from) {
            self.batches.clear();
        }
        if self.batches.len() == MAX_BATCHES {
            self.batches.pop_front();
        }
        self.batches.push_back(ChangeBatch { from, to, items });
    }

    /// Returns all changes after the position, oldest first; `None` if some of them are no longer
    /// kept.
    pub fn changes_after(&self, position: StorePosition) -> Option<Vec<StoreItem>> {
        let first = self.batches.front()?;
        if position < first.from {
            return None;
        }
        let later = self.batches.iter().filter(|batch| batch.to > position);
        Some(later.flat_map(|batch| batch.items.clone()).collect())
    }
}
