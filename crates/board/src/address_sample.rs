use {
    crate::HostRecord,
    rand::{Rng, seq::IndexedRandom},
};

/// Smallest number of ready entries in a data centre for its callers to be sent to these alone.
const MIN_NEAR_ENTRIES: usize = 8;

/// Returns up to `max_count` of the ready entries for a caller in the given data centre.
///
/// If there are enough entries in the caller's data centre, they are chosen among those. If there
/// are too many for one answer, each answer has others, at random, so that the callers of a large
/// fleet do not all use the same few entries.
///
/// ```
/// use rand::SeedableRng;
///
/// let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(1);
/// assert!(board::address_sample(Vec::new(), Some("north"), 64, &mut random).is_empty());
/// ```
pub fn address_sample<'a>(
    ready: Vec<&'a HostRecord>,
    data_centre: Option<&str>,
    max_count: usize,
    random: &mut impl Rng,
) -> Vec<&'a HostRecord> {
    let is_near = |record: &&&HostRecord| Some(record.data_centre.as_str()) == data_centre;
    let near: Vec<&HostRecord> = ready.iter().filter(is_near).copied().collect();
    let candidates = match near.len() >= MIN_NEAR_ENTRIES {
        true => near,
        false => ready,
    };
    if candidates.len() <= max_count {
        return candidates;
    }
    candidates
        .choose_multiple(random, max_count)
        .copied()
        .collect()
}
