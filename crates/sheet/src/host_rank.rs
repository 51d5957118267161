use base::HostId;

/// Ranks hosts for a key by rendezvous hashing. Adding or removing a host does not change the order
/// of the others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostRank {
    key: String,
}

impl HostRank {
    /// Creates the ranking for a key.
    ///
    /// ```
    /// let rank = sheet::HostRank::new("reader-1");
    /// let hosts = ["h1", "h2", "h3"].map(String::from);
    /// let best = rank.best(&hosts).unwrap();
    /// let others: Vec<String> = hosts.iter().filter(|host| *host != best).cloned().collect();
    /// assert_eq!(rank.ranked(&hosts)[1..].to_vec(), rank.ranked(&others));
    /// ```
    pub fn new(key: impl Into<String>) -> Self {
        Self { key: key.into() }
    }

    /// Returns all hosts, the highest-ranked first.
    pub fn ranked<'h>(&self, hosts: impl IntoIterator<Item = &'h HostId>) -> Vec<&'h HostId> {
        let mut ranked: Vec<&HostId> = hosts.into_iter().collect();
        ranked.sort_by_cached_key(|host| (self.score(host), *host));
        ranked.reverse();
        ranked
    }

    /// Returns the highest-ranked host; `None` if there are no hosts.
    pub fn best<'h>(&self, hosts: impl IntoIterator<Item = &'h HostId>) -> Option<&'h HostId> {
        let hosts = hosts.into_iter();
        hosts.max_by_key(|host| (self.score(host), *host))
    }

    /// Computes the score of a host; a larger score ranks higher.
    pub fn score(&self, host: &str) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.key.len().to_le_bytes());
        hasher.update(self.key.as_bytes());
        hasher.update(host.as_bytes());
        let mut score_bytes = [0; 8];
        hasher.finalize_xof().fill(&mut score_bytes);
        u64::from_le_bytes(score_bytes)
    }
}
