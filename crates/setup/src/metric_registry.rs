use {
    cadence::{Counted, Gauged, NopMetricSink, StatsdClient, UdpMetricSink},
    std::{
        collections::BTreeMap,
        net::{SocketAddr, UdpSocket},
        sync::{Arc, Mutex, PoisonError},
    },
};

/// Prefix of the names of all metrics at the statsd server.
const METRIC_PREFIX: &str = "camphor";

/// Counters and gauges of one process. They are sent to statsd and kept for the operators'
/// interface.
#[derive(Clone)]
pub struct MetricRegistry {
    client: Arc<StatsdClient>,
    values: Arc<Mutex<BTreeMap<String, i64>>>,
}

impl MetricRegistry {
    /// Creates a registry that sends to a statsd server, or only keeps the values if `statsd` is
    /// `None`.
    ///
    /// # Errors
    ///
    /// Returns an error if no UDP socket can be opened.
    pub fn open(statsd: Option<SocketAddr>) -> anyhow::Result<Self> {
        let client = match statsd {
            Some(address) => {
                let socket = UdpSocket::bind("0.0.0.0:0")?;
                socket.set_nonblocking(true)?;
                let sink = UdpMetricSink::from(address, socket)?;
                StatsdClient::from_sink(METRIC_PREFIX, sink)
            }
            None => StatsdClient::from_sink(METRIC_PREFIX, NopMetricSink),
        };
        Ok(Self {
            client: Arc::new(client),
            values: Arc::default(),
        })
    }

    /// Adds `amount` to a counter, which starts at 0.
    ///
    /// ```
    /// let metrics = setup::MetricRegistry::open(None).unwrap();
    /// metrics.count("requests", 2);
    /// assert_eq!(metrics.values()["requests"], 2);
    /// ```
    pub fn count(&self, name: &str, amount: i64) {
        let _ = self.client.count(name, amount);
        *self.lock().entry(name.to_string()).or_default() += amount;
    }

    /// Sets a gauge. The kept value is at most `i64::MAX`.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
        self.lock()
            .insert(name.to_string(), i64::try_from(value).unwrap_or(i64::MAX));
    }

    /// Returns all counters and gauges by name.
    pub fn values(&self) -> BTreeMap<String, i64> {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<String, i64>> {
        self.values.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
