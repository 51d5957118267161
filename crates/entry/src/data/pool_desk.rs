use {
    base::{CentreId, TargetId},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    sheet::{FleetSheet, TargetRow},
    std::collections::BTreeSet,
};

/// Chooses targets for calls.
pub struct PoolDesk {
    centre: CentreId,
    random: ChaCha8Rng,
}

impl PoolDesk {
    pub fn new(centre: impl Into<CentreId>, seed: u64) -> Self {
        Self {
            centre: centre.into(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Target for the next call of a request that has tried some already.
    pub fn pick(
        &mut self,
        sheet: &FleetSheet,
        leaving: &BTreeSet<TargetId>,
        pool: &str,
        tried: &[TargetId],
    ) -> Option<TargetRow> {
        let usable: Vec<&TargetRow> = sheet
            .pool_targets(pool)
            .filter(|row| !leaving.contains(&row.name))
            .collect();
        let fresh: Vec<&TargetRow> = usable
            .iter()
            .copied()
            .filter(|row| !tried.contains(&row.name))
            .collect();
        let choice = if fresh.is_empty() { usable } else { fresh };
        if choice.is_empty() {
            return None;
        }
        let _ = &self.centre;
        Some(choice[self.random.random_range(0..choice.len())].clone())
    }
}
