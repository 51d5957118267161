use {base::HostId, sheet::HostRank};

/// Assigns each target to one of the live hosts. While hosts have different lists of live hosts, a
/// target may have several owners or none; readings, fencing tokens and leases then prevent harm.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TargetOwnership {
    hosts: Vec<HostId>,
}

impl TargetOwnership {
    /// Creates the assignment for a list of live hosts; order and duplicates do not matter.
    ///
    /// ```
    /// use order::TargetOwnership;
    ///
    /// let hosts = ["h1", "h2", "h3"].map(String::from);
    /// let ownership = TargetOwnership::new(hosts.to_vec());
    /// let host = ownership.owner_of("reader-1").unwrap().clone();
    /// let rest = hosts.into_iter().filter(|other| *other != host).collect();
    /// assert_ne!(TargetOwnership::new(rest).owner_of("reader-1"), Some(&host));
    /// assert_eq!(TargetOwnership::default().owner_of("reader-1"), None);
    /// ```
    pub fn new(mut hosts: Vec<HostId>) -> Self {
        hosts.sort();
        hosts.dedup();
        Self { hosts }
    }

    /// Returns the host that owns the target, or `None` if there are no hosts.
    pub fn owner_of(&self, target: &str) -> Option<&HostId> {
        HostRank::new(format!("order {target}")).best(&self.hosts)
    }

    /// Returns the number of hosts that share the targets.
    pub fn host_count(&self) -> usize {
        self.hosts.len()
    }
}
