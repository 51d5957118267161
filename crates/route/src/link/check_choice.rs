use {
    plan::{ServiceId, TargetMap, TargetRow},
    rand::{Rng, seq::SliceRandom},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Returns the addresses of at most `max_checks` targets that show whether an entry reaches any, of
/// as many services as possible. `is_wanted` tells which targets may be called.
pub fn pick_checks(
    targets: &TargetMap,
    is_wanted: impl Fn(&str) -> bool,
    max_checks: usize,
    random: &mut impl Rng,
) -> Vec<SocketAddr> {
    let mut wanted: Vec<(&String, &TargetRow)> = targets
        .iter()
        .filter(|(id, row)| !row.leaving && is_wanted(id))
        .collect();
    wanted.shuffle(random);
    let mut picked: BTreeMap<&ServiceId, usize> = BTreeMap::new();
    // The first targets of all services come before the second ones.
    let mut ranked: Vec<(usize, SocketAddr)> = Vec::new();
    for (_, row) in wanted {
        let rank = picked.entry(&row.service).or_default();
        ranked.push((*rank, row.address));
        *rank += 1;
    }
    ranked.sort_by_key(|(rank, _)| *rank);
    let addresses = ranked.into_iter().map(|(_, address)| address);
    addresses.take(max_checks).collect()
}
