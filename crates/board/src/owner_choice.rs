use std::{
    cmp::Reverse,
    hash::{DefaultHasher, Hash, Hasher},
};

/// Returns the host that owns what `subject` names, such as a shard, chosen by rendezvous hashing:
/// every entry that knows the same hosts gets the same owner. `None` if there are no hosts.
///
/// ```
/// let hosts = ["a", "b", "c"];
/// let owner = board::pick_owner("pool", hosts).unwrap();
/// let same_hosts = hosts.into_iter().filter(|host| *host != "z");
/// assert_eq!(board::pick_owner("pool", same_hosts), Some(owner));
/// ```
pub fn pick_owner<'a>(subject: &str, hosts: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    hosts.into_iter().max_by_key(|host| rank(subject, host))
}

/// Returns the `max_hosts` hosts, or all if there are fewer, that rank highest for `subject`, by
/// descending rank: the owner comes first.
///
/// ```
/// let ranked = board::rank_hosts("pool", ["a", "b", "c"], 2);
/// assert_eq!(Some(ranked[0]), board::pick_owner("pool", ["a", "b", "c"]));
/// assert_eq!(ranked.len(), 2);
/// ```
pub fn rank_hosts<'a>(
    subject: &str,
    hosts: impl IntoIterator<Item = &'a str>,
    max_hosts: usize,
) -> Vec<&'a str> {
    let mut ranked: Vec<&str> = hosts.into_iter().collect();
    ranked.sort_by_key(|host| Reverse(rank(subject, host)));
    ranked.truncate(max_hosts);
    ranked
}

fn rank<'a>(subject: &str, host: &'a str) -> (u64, &'a str) {
    let mut hasher = DefaultHasher::new();
    subject.hash(&mut hasher);
    host.hash(&mut hasher);
    (hasher.finish(), host)
}
