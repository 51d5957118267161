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

/// Says which daemons watch the configuration service, so that its load does not grow with the
/// fleet. All daemons work it out alike from the live hosts; while their lists differ a few more
/// or fewer watch, which does no harm.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WatchRota {
    centres: BTreeMap<CentreId, Vec<HostId>>,
}

impl WatchRota {
    /// Rota over the hosts that are live.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let hosts = (0..100).map(|number| (format!("h{number}"), format!("dc{}", number % 4)));
    /// let rota = sheet::WatchRota::new(hosts);
    /// assert_eq!(rota.watchers().len(), 8);
    /// let watcher = rota.watchers()[0].clone();
    /// assert!(rota.is_watcher(&watcher));
    /// assert_eq!(rota.poll_period(), Duration::from_secs(3));
    /// assert!(rota.poll_phase("h7") < rota.poll_period());
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

    /// Wait of a host before its first poll, which spreads the polls over the period.
    pub fn poll_phase(&self, host: &str) -> Duration {
        let share = HostRank::new("poll").score(host) as f64 / u64::MAX as f64;
        self.poll_period().mul_f64(share.min(0.999))
    }
}
