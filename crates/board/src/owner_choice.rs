use {base::StableHash, std::cmp::Reverse};

/// Returns the host that owns `key`, such as the name of a shard, chosen by rendezvous hashing:
/// every entry that knows the same hosts gets the same owner. `None` if there are no hosts.
///
/// ```
/// let hosts = ["a", "b", "c"];
/// let owner = board::pick_owner("pool", hosts).unwrap();
/// // Any iterator over the same hosts gives the same owner.
/// let same_hosts = hosts.into_iter().filter(|host| *host != "z");
/// assert_eq!(board::pick_owner("pool", same_hosts), Some(owner));
/// ```
pub fn pick_owner<'a>(key: &str, hosts: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    hosts.into_iter().max_by_key(|host| rank(key, host))
}

/// Returns the `max_hosts` hosts, or all if there are fewer, that rank highest for `key`, by
/// descending rank: the owner comes first.
///
/// ```
/// let ranked = board::rank_hosts("pool", ["a", "b", "c"], 2);
/// assert_eq!(Some(ranked[0]), board::pick_owner("pool", ["a", "b", "c"]));
/// assert_eq!(ranked.len(), 2);
/// ```
pub fn rank_hosts<'a>(
    key: &str,
    hosts: impl IntoIterator<Item = &'a str>,
    max_hosts: usize,
) -> Vec<&'a str> {
    let mut ranked: Vec<&str> = hosts.into_iter().collect();
    ranked.sort_by_cached_key(|host| Reverse(rank(key, host)));
    ranked.truncate(max_hosts);
    ranked
}

fn rank<'a>(key: &str, host: &'a str) -> (u64, &'a str) {
    let hash = StableHash::new().with_text(key).with_text(host);
    (hash.finish(), host)
}
