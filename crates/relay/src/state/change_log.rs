use {
    crate::dialect::StoreItem,
    plan::{PlanVersion, StorePosition},
    std::collections::VecDeque,
};

/// Number of batches of changes that are kept; a peer that lacks older ones gets a snapshot.
const MAX_BATCHES: usize = 64;
/// Number of items that are kept, few enough for one message.
const MAX_ITEMS: usize = 10_000;

/// Changes between two positions of the store's history.
#[derive(Debug, Clone)]
struct ChangeBatch {
    from: StorePosition,
    to: StorePosition,
    items: Vec<StoreItem>,
}

/// The latest changes of the store, so that peers which know an earlier position can catch up.
///
/// Of the configurations only the newest one is kept: they are large, and the newest one replaces all
/// others wherever it arrives.
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
        self.batches.push_back(ChangeBatch { from, to, items });
        self.drop_replaced_plans();
        while self.batches.len() > MAX_BATCHES || self.item_count() > MAX_ITEMS {
            self.batches.pop_front();
        }
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

    fn item_count(&self) -> usize {
        self.batches.iter().map(|batch| batch.items.len()).sum()
    }

    fn drop_replaced_plans(&mut self) {
        let items = self.batches.iter().flat_map(|batch| &batch.items);
        let newest = items.filter_map(plan_version).max().unwrap_or_default();
        for batch in &mut self.batches {
            keep_plan(batch, newest);
        }
    }
}

/// Removes all that belongs to other configurations than the one of this version.
fn keep_plan(batch: &mut ChangeBatch, version: PlanVersion) {
    let is_kept = |item: &StoreItem| plan_version(item).is_none_or(|known| known == version);
    batch.items.retain(is_kept);
}

/// Returns the version of the configuration that an item belongs to; `None` for other items.
fn plan_version(item: &StoreItem) -> Option<PlanVersion> {
    match item {
        StoreItem::Plan(plan) => Some(plan.version),
        StoreItem::ColdRates(version, _) => Some(*version),
        _ => None,
    }
}
