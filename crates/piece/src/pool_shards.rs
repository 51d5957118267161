use {
    plan::TargetRow,
    rand::Rng,
    std::{collections::BTreeSet, time::Duration},
};

/// Targets of a pool for which one entry gathers; more of them make several parts.
const MAX_SHARD_TARGETS: usize = 9;

/// Differences of waits within which parts are drawn by lot.
const MAX_WAIT_JITTER: Duration = Duration::from_millis(200);

/// A part of a pool: targets that stand together, for which one entry gathers.
#[derive(Debug)]
pub struct PoolShard {
    /// Name of the part.
    pub name: String,
    /// Ids of its targets.
    pub targets: BTreeSet<String>,
    /// Data centres in which they stand.
    pub data_centres: BTreeSet<String>,
}

/// The parts of a pool, alike on every entry that knows the same targets.
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
    /// Parts of a pool with these targets.
    pub fn new(pool: &str, rows: &[(&String, &TargetRow)]) -> Self {
        let mut targets: Vec<_> = rows
            .iter()
            .map(|(id, row)| (&row.data_centre, *id))
            .collect();
        targets.sort_unstable();
        let count = targets.len().div_ceil(MAX_SHARD_TARGETS).max(1);
        let length = targets.len().div_ceil(count).max(1);
        let shards = (0..count).map(|number| {
            let part = targets.chunks(length).nth(number).unwrap_or_default();
            PoolShard {
                name: format!("{pool}#{number}"),
                targets: part.iter().map(|(_, id)| (*id).clone()).collect(),
                data_centres: part.iter().map(|(centre, _)| (*centre).clone()).collect(),
            }
        });
        Self {
            shards: shards.collect(),
        }
    }

    /// All parts.
    pub fn shards(&self) -> &[PoolShard] {
        &self.shards
    }

    /// Part that a target belongs to.
    pub fn shard_of(&self, target: &str) -> Option<&PoolShard> {
        self.shards
            .iter()
            .find(|shard| shard.targets.contains(target))
    }

    /// Part that waits least, among those in the data centre if there are any.
    ///
    /// What is known of the waits is some rounds old and the same everywhere, so parts that wait
    /// about as long are drawn by lot: all entries would go to the same one otherwise.
    pub fn choose_shard(
        &self,
        centre: Option<&str>,
        wait: impl Fn(&str) -> Duration,
        random: &mut impl Rng,
    ) -> Option<&PoolShard> {
        let staffed = || self.shards.iter().filter(|shard| !shard.targets.is_empty());
        let is_near = |shard: &PoolShard| centre.is_none_or(|it| shard.data_centres.contains(it));
        let any_near = staffed().any(is_near);
        let open = staffed().filter(|shard| !any_near || is_near(shard));
        let drawn = open.map(|shard| {
            let lot = MAX_WAIT_JITTER.mul_f64(random.random::<f64>());
            (wait(&shard.name) + lot, shard)
        });
        let (_, shard) = drawn.min_by_key(|(wait, _)| *wait)?;
        Some(shard)
    }
}
