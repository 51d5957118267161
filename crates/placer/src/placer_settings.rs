use {
    base::HostId,
    order::OrderLimits,
    serde::{Deserialize, Serialize},
    setup::{LogLevel, StartError},
    std::{net::SocketAddr, time::Duration},
};

/// Settings of a placer, read once from a TOML file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlacerSettings {
    /// Name of this host, the same as that of the entry beside it.
    pub host: HostId,
    /// Address for operators, HTTP.
    pub listen: SocketAddr,
    /// Address of the entry's operators' interface.
    pub entry: SocketAddr,
    /// How orders are timed.
    #[serde(default)]
    pub orders: OrderSettings,
    /// Least severe level that is logged.
    #[serde(default)]
    pub log: LogLevel,
    /// Address of a statsd server.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
}

/// How orders are timed; the same on all hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OrderSettings {
    /// Longest time between the start of a reading and the order that follows from it.
    #[serde(with = "humantime_serde")]
    pub lease: Duration,
    /// Time between two readings of one engine.
    #[serde(with = "humantime_serde")]
    pub read_period: Duration,
    /// Shortest time between two orders of one sheet to one engine.
    #[serde(with = "humantime_serde")]
    pub repair_pause: Duration,
    /// Loads a second that the weight store grants the whole fleet.
    pub loads_per_second: f64,
}

impl Default for OrderSettings {
    fn default() -> Self {
        let limits = OrderLimits::default();
        Self {
            lease: limits.lease,
            read_period: limits.read_period,
            repair_pause: limits.repair_pause,
            loads_per_second: limits.loads_per_second,
        }
    }
}

impl OrderSettings {
    /// The limits that a planner takes.
    pub fn limits(&self) -> OrderLimits {
        OrderLimits {
            lease: self.lease,
            read_period: self.read_period,
            repair_pause: self.repair_pause,
            loads_per_second: self.loads_per_second,
        }
    }
}

impl PlacerSettings {
    /// Checks what the types cannot express; `file` stands in the error.
    ///
    /// # Errors
    ///
    /// Names the key and what would be right.
    pub fn check(&self, file: &str) -> Result<(), StartError> {
        let times = [
            ("orders.lease", self.orders.lease),
            ("orders.read_period", self.orders.read_period),
            ("orders.repair_pause", self.orders.repair_pause),
        ];
        let zero = times.into_iter().find(|(_, time)| time.is_zero());
        let rate = self.orders.loads_per_second;
        let fault = if self.host.is_empty() {
            Some(("host", "the name of this host"))
        } else if !(rate.is_finite() && rate > 0.0) {
            Some(("orders.loads_per_second", "a number above 0"))
        } else {
            zero.map(|(key, _)| (key, "longer than 0s"))
        };
        match fault {
            Some((key, right)) => Err(StartError::Settings(format!(
                "{file}: `{key}`: should be {right}"
            ))),
            None => Ok(()),
        }
    }
}
