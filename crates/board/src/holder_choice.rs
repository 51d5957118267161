use crate::{HostRecord, rank_hosts};

/// Returns the hosts in the order in which they are to remember something about `key`, alike on
/// every entry that knows the same hosts. The first two are in two data centres if there are two.
///
/// ```
/// use board::{HostRecord, rank_holders};
///
/// let host = |host: &str, data_centre: &str| HostRecord {
///     host: host.into(), data_centre: data_centre.into(), incarnation: 1, sequence: 0,
///     callers: "10.0.0.1:80".parse().unwrap(), peers: "10.0.0.1:81".parse().unwrap(),
///     hops: "127.0.0.1:3".parse().unwrap(), core_share: 1_000, ready: true, reaches_targets: true, leaving: false, settled: true, plan_version: 1,
///     loads: Vec::new(), pools: Vec::new(), crashes: Vec::new(),
/// };
/// let hosts = [host("a", "north"), host("b", "north"), host("c", "north"), host("d", "south")];
/// let holders = rank_holders("stream", &hosts);
/// assert_ne!(holders[0].data_centre, holders[1].data_centre);
/// ```
pub fn rank_holders<'a>(
    key: &str,
    hosts: impl IntoIterator<Item = &'a HostRecord>,
) -> Vec<&'a HostRecord> {
    let hosts: Vec<&HostRecord> = hosts.into_iter().collect();
    let names = hosts.iter().map(|record| record.host.as_str());
    let ranked = rank_hosts(key, names, hosts.len());
    let find_host = |name: &str| hosts.iter().find(|record| record.host == name).copied();
    let mut holders: Vec<&HostRecord> = ranked.into_iter().filter_map(find_host).collect();
    let first_centre = holders.first().map(|first| first.data_centre.clone());
    let other = holders
        .iter()
        .position(|holder| Some(&holder.data_centre) != first_centre.as_ref());
    if let Some(position) = other {
        holders[1..=position].rotate_right(1);
    }
    holders
}
