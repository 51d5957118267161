use {
    crate::HostRecord,
    rand::{Rng, seq::IndexedRandom},
};

/// Requests at an entry of the own data centre that count like none at one of another.
const CROSS_CENTRE_REQUESTS: u64 = 1;
/// Core share to which numbers of requests are scaled, in thousandths of a core.
const FULL_CORE_SHARE: u64 = 1_000;

/// Returns the entry to which an entry without links to targets hands a request over: one that
/// reaches targets and has the least of this entry's requests for its core share, in the own data
/// centre first. `open_requests` returns their number at a host.
///
/// It answers this load pattern: most entries of a data centre lose their links at once, so that all
/// requests there would fall on the one that is left.
pub fn pick_hop<'a>(
    own_data_centre: &str,
    hosts: impl IntoIterator<Item = &'a HostRecord>,
    open_requests: impl Fn(&str) -> u32,
    random: &mut impl Rng,
) -> Option<&'a HostRecord> {
    let serving = hosts.into_iter().filter(|record| {
        record.ready && !record.leaving && record.settled && record.reaches_targets
    });
    let cost = |record: &HostRecord| {
        let distance = match record.data_centre == own_data_centre {
            true => 0,
            false => CROSS_CENTRE_REQUESTS,
        };
        let requests = u64::from(open_requests(&record.host)) + distance;
        requests * FULL_CORE_SHARE / u64::from(record.core_share.max(1))
    };
    let costs: Vec<(u64, &HostRecord)> = serving.map(|record| (cost(record), record)).collect();
    let least = costs.iter().map(|(cost, _)| *cost).min()?;
    let best: Vec<&HostRecord> = costs
        .into_iter()
        .filter(|(cost, _)| *cost == least)
        .map(|(_, record)| record)
        .collect();
    best.choose(random).copied()
}
