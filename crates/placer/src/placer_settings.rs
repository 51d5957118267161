use {
    base::HostId,
    order::OrderLimits,
    room::{MemoryShares, machine_memory},
    serde::{Deserialize, Serialize},
    setup::{LogLevel, StartError},
    std::{net::SocketAddr, time::Duration},
};

/// Settings of a placer, read once from a TOML file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlacerSettings {
    /// Name of this host, the same as in the settings of its entry.
    pub host: HostId,
    /// Address of the operators' interface, HTTP.
    pub listen: SocketAddr,
    /// Address of the operators' interface of this host's entry.
    pub entry: SocketAddr,
    /// Memory that the process may use, in MB; by default that of the machine.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// Intervals and rate limit of orders.
    #[serde(default)]
    pub orders: OrderSettings,
    /// Least severe level that is logged.
    #[serde(default)]
    pub log: LogLevel,
    /// Address of a statsd server that gets the metrics; none is sent to if absent.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
}

/// Intervals and rate limit of orders; they must be the same on all hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OrderSettings {
    /// Longest time from the start of reading an engine to the order that follows from it.
    #[serde(with = "humantime_serde")]
    pub lease: Duration,
    /// Time between two readings of one engine.
    #[serde(with = "humantime_serde")]
    pub read_period: Duration,
    /// Shortest time between two orders to one engine under the same sheet version.
    #[serde(with = "humantime_serde")]
    pub repair_pause: Duration,
    /// Model loads per second that the store of model weights allows for the whole fleet.
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
    /// Returns the settings in the planner's type.
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
    /// Returns what the parts of the process may use of its memory.
    pub fn memory_shares(&self) -> MemoryShares {
        let shares = MemoryShares::of_settings(self.memory_mb);
        shares.unwrap_or_else(|_| MemoryShares::new(machine_memory()))
    }

    /// Checks what the types cannot express; the error names `file`.
    ///
    /// # Errors
    ///
    /// Fails on the first invalid value; the error names its key and the values allowed.
    pub fn check(&self, file: &str) -> Result<(), StartError> {
        let durations = [
            ("orders.lease", self.orders.lease),
            ("orders.read_period", self.orders.read_period),
            ("orders.repair_pause", self.orders.repair_pause),
        ];
        let zero_duration = durations
            .into_iter()
            .find(|(_, duration)| duration.is_zero());
        let load_rate = self.orders.loads_per_second;
        let fault = if self.host.is_empty() {
            Some(("host", "the name of this host"))
        } else if MemoryShares::of_settings(self.memory_mb).is_err() {
            Some(("memory_mb", "at least 64"))
        } else if !(load_rate.is_finite() && load_rate > 0.0) {
            Some(("orders.loads_per_second", "a number above 0"))
        } else {
            zero_duration.map(|(key, _)| (key, "longer than 0s"))
        };
        match fault {
            Some((key, requirement)) => Err(StartError::Settings(format!(
                "{file}: `{key}`: should be {requirement}"
            ))),
            None => Ok(()),
        }
    }
}
