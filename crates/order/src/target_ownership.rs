use {base::HostId, sheet::HostRank};

/// Says which host owns a target. While lists of live hosts differ a target may have several
/// owners or none; readings, fencing numbers and leases make that harmless.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TargetOwnership {
    hosts: Vec<HostId>,
}

impl TargetOwnership {
    /// Ownership among the live hosts.
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

    /// Host that owns the target.
    pub fn owner_of(&self, target: &str) -> Option<&HostId> {
        HostRank::new(format!("order {target}")).best(&self.hosts)
    }

    /// Number of hosts that share the targets.
    pub fn host_count(&self) -> usize {
        self.hosts.len()
    }
}
