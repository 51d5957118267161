use {
    plan::TargetRow,
    rand::Rng,
    std::{collections::BTreeSet, time::Duration},
};

/// Maximum number of targets in a shard.
const MAX_SHARD_TARGETS: usize = 9;

/// Upper bound of the random time that is added to the wait of each shard when one is chosen.
const MAX_WAIT_JITTER: Duration = Duration::from_millis(200);

/// Wait that is accepted at a shard in the preferred data centre before one in another data centre
/// is chosen; more than the jitter, so that an idle near shard is always preferred.
const OTHER_CENTRE_COST: Duration = Duration::from_millis(300);

/// A part of a pool: a group of its targets, sorted by data centre, whose calls one entry batches.
#[derive(Debug)]
pub struct PoolShard {
    /// Name of the shard: that of the pool, `#`, and the shard's number.
    pub name: String,
    /// Ids of its targets.
    pub targets: BTreeSet<String>,
    /// Data centres of its targets.
    pub data_centres: BTreeSet<String>,
}

/// The shards of a pool, the same on every entry that knows the same targets.
///
/// ```
/// let shards = piece::PoolShards::new("billing", &[]);
/// assert_eq!(shards.shards().len(), 1);
/// assert!(shards.shard_of("t1").is_none());
/// ```
#[derive(Debug)]
pub struct PoolShards {
    shards: Vec<PoolShard>,
}

impl PoolShards {
    /// Divides the targets of a pool into shards of about equal size, by data centre and id. A pool
    /// without targets has one empty shard.
    pub fn new(pool: &str, rows: &[(&String, &TargetRow)]) -> Self {
        let mut targets: Vec<_> = rows
            .iter()
            .map(|(id, row)| (&row.data_centre, *id))
            .collect();
        targets.sort_unstable();
        let shard_count = targets.len().div_ceil(MAX_SHARD_TARGETS).max(1);
        let shard_size = targets.len().div_ceil(shard_count).max(1);
        let shards = (0..shard_count).map(|number| {
            let shard_targets = targets.chunks(shard_size).nth(number).unwrap_or_default();
            PoolShard {
                name: format!("{pool}#{number}"),
                targets: shard_targets.iter().map(|(_, id)| (*id).clone()).collect(),
                data_centres: shard_targets
                    .iter()
                    .map(|(centre, _)| (*centre).clone())
                    .collect(),
            }
        });
        Self {
            shards: shards.collect(),
        }
    }

    /// Returns all shards, ordered by their number.
    pub fn shards(&self) -> &[PoolShard] {
        &self.shards
    }

    /// Returns the shard that a target belongs to; `None` for an unknown target.
    pub fn shard_of(&self, target: &str) -> Option<&PoolShard> {
        self.shards
            .iter()
            .find(|shard| shard.targets.contains(target))
    }

    /// Returns the shard with the shortest wait; `None` if the pool has no targets. `wait` returns the
    /// wait at the shard with the given name.
    ///
    /// Shards with targets in the data centre `centre` are preferred while their wait is not much
    /// longer. In a burst the inputs of many jobs are in few data centres; the shards there would
    /// otherwise have a queue of a second while others are idle.
    ///
    /// The waits come from gossip, so they are some rounds old and the same on every entry. A
    /// random time is added to each, since otherwise all entries would choose the same shard.
    pub fn choose_shard(
        &self,
        centre: Option<&str>,
        wait: impl Fn(&str) -> Duration,
        random: &mut impl Rng,
    ) -> Option<&PoolShard> {
        let with_targets = || self.shards.iter().filter(|shard| !shard.targets.is_empty());
        let is_near =
            |shard: &PoolShard| centre.is_none_or(|centre| shard.data_centres.contains(centre));
        let any_near = with_targets().any(is_near);
        let costs = with_targets().map(|shard| {
            let jitter = MAX_WAIT_JITTER.mul_f64(random.random::<f64>());
            let distance_cost = match is_near(shard) || !any_near {
                true => Duration::ZERO,
                false => OTHER_CENTRE_COST,
            };
            (wait(&shard.name) + jitter + distance_cost, shard)
        });
        let (_, shard) = costs.min_by_key(|(cost, _)| *cost)?;
        Some(shard)
    }
}
