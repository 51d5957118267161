use {
    crate::{HostTable, store_checkers},
    std::time::Instant,
    wire::SchemaNumber,
};

/// Returns the names of the other hosts from which this one can learn what the store holds: those that
/// watch it for others and read this schema, so that they can say all that it has to know.
///
/// ```
/// # use board::{GossipSettings, HostRecord, HostTable};
/// # let address: std::net::SocketAddr = "127.0.0.1:1".parse().unwrap();
/// # let own = HostRecord { host: String::from("h1"), data_centre: String::from("z"), incarnation: 1,
/// #     sequence: 0, callers: address, peers: address, hops: address, core_share: 250, ready: true,
/// #     reaches_targets: true, leaving: false, settled: true, plan_version: 1, loads: Vec::new(),
/// #     pools: Vec::new(), crashes: Vec::new() };
/// let hosts = HostTable::new(GossipSettings::default(), own, [], 1);
/// assert!(board::feed_sources(&hosts, 1, std::time::Instant::now()).is_empty());
/// ```
pub fn feed_sources(hosts: &HostTable, schema: SchemaNumber, now: Instant) -> Vec<&str> {
    let own_host = hosts.own_record().host.as_str();
    let others = store_checkers(hosts, now).into_iter();
    let others = others.filter(|host| *host != own_host);
    let sources = others.filter(|host| hosts.peer_schema(host) >= schema);
    sources.collect()
}
