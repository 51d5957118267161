use {
    crate::HostRank,
    base::{CentreId, HostId},
    std::{collections::BTreeMap, time::Duration},
};

/// Daemons of one data centre that hold a watch at the configuration service.
const WATCHERS_PER_CENTRE: usize = 2;
/// Time between the polls of all other daemons together, whatever their number.
const FLEET_POLL_GAP: Duration = Duration::from_millis(30);
/// Shortest time between two polls of one daemon.
const POLL_PERIOD_MIN: Duration = Duration::from_secs(2);

/// Time in which a sheet that the watchers have read reaches the other daemons.
const READ_DELAY: Duration = Duration::from_secs(1);

/// Says which daemons watch the configuration service, so that its load does not grow with the
/// fleet. All daemons work it out alike from the live hosts; while their lists differ a few more
/// or fewer watch, which does no harm.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WatchAssignment {
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
    /// assert_eq!(assignment.poll_period(), Duration::from_secs(3));
    /// assert!(assignment.poll_pause("h7") < assignment.poll_period() * 5 / 4);
    /// ```
    pub fn new(live: impl IntoIterator<Item = (HostId, CentreId)>) -> Self {
        let mut centres: BTreeMap<CentreId, Vec<HostId>> = BTreeMap::new();
        for (host, centre) in live {
            centres.entry(centre).or_default().push(host);
        }
        Self { centres }
    }

    /// Hosts that hold a watch.
    pub fn watchers(&self) -> Vec<&HostId> {
        let ranked = self.centres.iter().flat_map(|(centre, hosts)| {
            let ranked = HostRank::new(format!("watch {centre}")).ranked(hosts);
            ranked.into_iter().take(WATCHERS_PER_CENTRE)
        });
        ranked.collect()
    }

    /// True if the host holds a watch.
    pub fn is_watcher(&self, host: &str) -> bool {
        self.watchers().iter().any(|watcher| *watcher == host)
    }

    /// Time between two polls of a daemon that holds no watch.
    pub fn poll_period(&self) -> Duration {
        let hosts = self.centres.values().map(Vec::len).sum::<usize>();
        let period = FLEET_POLL_GAP * u32::try_from(hosts).unwrap_or(u32::MAX);
        period.max(POLL_PERIOD_MIN)
    }

    /// Time for which a host that has a sheet leaves a later index unread, so that peers can give
    /// it the parts which the watchers have read.
    pub fn read_delay(&self, host: &str) -> Duration {
        match self.is_watcher(host) {
            true => Duration::ZERO,
            false => READ_DELAY,
        }
    }

    /// Pause of a host between two of its polls, from three to five quarters of the period, so that
    /// daemons which started together do not go on polling together.
    pub fn poll_pause(&self, host: &str) -> Duration {
        let share = HostRank::new("poll").score(host) as f64 / u64::MAX as f64;
        let period = self.poll_period();
        period * 3 / 4 + period.mul_f64(share / 2.0)
    }
}
