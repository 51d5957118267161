use {
    crate::HostRank,
    base::{CentreId, HostId},
    std::{collections::BTreeMap, time::Duration},
};

/// Number of daemons in each data centre that hold a watch at the configuration service.
const WATCHERS_PER_CENTRE: usize = 2;
/// Mean time between two polls that the service gets from any of the other daemons; it does not
/// depend on their number.
const FLEET_POLL_INTERVAL: Duration = Duration::from_millis(30);
/// Lower bound of the mean time between two polls of one daemon.
const MIN_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Delay after which a daemon that holds no watch acts on a later index: by then peers should have
/// the parts.
const INDEX_READ_DELAY: Duration = Duration::from_secs(1);

/// Assigns a few daemons of each data centre to watch the configuration service while all others
/// only poll it, so that its load does not grow with the fleet. Each daemon computes the same
/// assignment from the live hosts; while their lists of hosts differ, a few more or fewer daemons
/// watch, which does no harm.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WatchAssignment {
    /// Live hosts by data centre.
    centres: BTreeMap<CentreId, Vec<HostId>>,
}

impl WatchAssignment {
    /// Creates the assignment for the live hosts.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let hosts = (0..100).map(|number| (format!("h{number}"), format!("dc{}", number % 4)));
    /// let assignment = sheet::WatchAssignment::new(hosts);
    /// assert_eq!(assignment.watchers().len(), 8);
    /// let watcher = assignment.watchers()[0].clone();
    /// assert!(assignment.is_watcher(&watcher));
    /// assert_eq!(assignment.mean_poll_interval(), Duration::from_secs(3));
    /// assert!(assignment.poll_interval("h7") < assignment.mean_poll_interval() * 5 / 4);
    /// ```
    pub fn new(live: impl IntoIterator<Item = (HostId, CentreId)>) -> Self {
        let mut centres: BTreeMap<CentreId, Vec<HostId>> = BTreeMap::new();
        for (host, centre) in live {
            centres.entry(centre).or_default().push(host);
        }
        Self { centres }
    }

    /// Returns the hosts that hold a watch.
    pub fn watchers(&self) -> Vec<&HostId> {
        let watchers = self.centres.iter().flat_map(|(centre, hosts)| {
            let ranked = HostRank::new(format!("watch {centre}")).ranked(hosts);
            ranked.into_iter().take(WATCHERS_PER_CENTRE)
        });
        watchers.collect()
    }

    /// Returns true if the host holds a watch.
    pub fn is_watcher(&self, host: &str) -> bool {
        self.watchers().iter().any(|watcher| *watcher == host)
    }

    /// Returns the mean time between two polls of a daemon that holds no watch.
    pub fn mean_poll_interval(&self) -> Duration {
        let hosts = self.centres.values().map(Vec::len).sum::<usize>();
        let interval = FLEET_POLL_INTERVAL * u32::try_from(hosts).unwrap_or(u32::MAX);
        interval.max(MIN_POLL_INTERVAL)
    }

    /// Returns how long a host that has a sheet waits before it acts on a later index, so that it
    /// can fetch the parts from peers that got them from the watchers. Zero for a watcher.
    pub fn read_delay(&self, host: &str) -> Duration {
        match self.is_watcher(host) {
            true => Duration::ZERO,
            false => INDEX_READ_DELAY,
        }
    }

    /// Returns the time between two polls of this host, from 3/4 to 5/4 of the mean. It differs
    /// between hosts, so that daemons that started together do not keep polling together.
    pub fn poll_interval(&self, host: &str) -> Duration {
        let share = HostRank::new("poll").score(host) as f64 / u64::MAX as f64;
        let mean_interval = self.mean_poll_interval();
        mean_interval * 3 / 4 + mean_interval.mul_f64(share / 2.0)
    }
}
