use {
    base::{CentreId, HostId},
    data_encoding::HEXLOWER_PERMISSIVE,
    member::MemberSettings,
    room::{MIN_MEMORY_MB, MemoryShares, machine_memory},
    serde::{Deserialize, Serialize},
    setup::{LogLevel, StartError},
    std::{net::SocketAddr, time::Duration},
};

/// Size of the key that all entries share.
const FLEET_KEY_BYTES: usize = 32;

/// Settings of an entry daemon, read once from a TOML file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of this host.
    pub host: HostId,
    /// Data centre of this host.
    pub data_centre: CentreId,
    /// Capacity relative to the other hosts; at least 1.
    #[serde(default = "default_size")]
    pub size: u32,
    /// Memory that the process may use, in MB; by default that of the machine.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// Addresses that the daemon listens on.
    pub listen: ListenSettings,
    /// Address of the platform and how it is read.
    pub platform: PlatformSettings,
    /// Key and addresses for messages between entries.
    pub peers: PeerSettings,
    /// Level of the log.
    #[serde(default)]
    pub log: LogSettings,
    /// Destination of the metrics.
    #[serde(default)]
    pub metrics: MetricSettings,
    /// Limits on callers and on the answers of targets.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Content of address answers.
    #[serde(default)]
    pub answers: AnswerSettings,
    /// Lifetime of tickets and limits on those that are kept.
    #[serde(default)]
    pub tickets: TicketSettings,
    /// Limits of the shutdown.
    #[serde(default)]
    pub shutdown: ShutdownSettings,
    /// Intervals, time-outs and limits of the member table.
    #[serde(default)]
    pub members: MemberSettings,
}

/// Addresses that the daemon listens on; for port 0 the kernel chooses a free one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Address for callers, HTTP. It is also the one that they are told to connect to.
    pub callers: SocketAddr,
    /// Address for peers, UDP and TCP. It is also the one that they are told, unless
    /// `peers.advertise` is set.
    pub peers: SocketAddr,
    /// Address for operators, HTTP.
    pub operators: SocketAddr,
}

/// Address of the platform and how it is read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the configuration service and of the host list.
    pub address: SocketAddr,
    /// Shortest pause between two reads of the host list; the actual one grows with the number of
    /// entries.
    #[serde(default = "default_poll", with = "humantime_serde")]
    pub poll: Duration,
    /// Time after which a read fails.
    #[serde(default = "default_read_time", with = "humantime_serde")]
    pub read_time: Duration,
}

/// Key and addresses for messages between entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Key that all entries share, 64 hexadecimal digits. It authenticates messages between them,
    /// tickets and proofs of sheet versions.
    pub key: String,
    /// Peer addresses that are tried as well while no peer answers.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address under which peers reach this host, if it differs from `listen.peers`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
}

/// Level of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Least severe level of the lines that are written.
    pub level: LogLevel,
}

/// Destination of the metrics.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MetricSettings {
    /// Address of a statsd server; without it metrics are only kept for operators.
    pub statsd: Option<SocketAddr>,
}

/// Limits on callers and on the answers of targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Largest size of a request body, in bytes.
    pub body_bytes: usize,
    /// Largest size of a target's answer to one call, in bytes.
    pub answer_bytes: usize,
    /// Time within which the whole head of a request has to arrive.
    #[serde(with = "humantime_serde")]
    pub head_time: Duration,
    /// Time within which the whole body of a request has to arrive.
    #[serde(with = "humantime_serde")]
    pub body_time: Duration,
    /// Time after which an idle connection is closed.
    #[serde(with = "humantime_serde")]
    pub idle_time: Duration,
    /// Time after which a stream that the caller does not read is cut off.
    #[serde(with = "humantime_serde")]
    pub stall_time: Duration,
    /// Number of connections of callers that may be open at once.
    pub connections: usize,
    /// Number of calls that may be queued, for each pool.
    pub queue: usize,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_bytes: 4 * 1024 * 1024,
            answer_bytes: 16 * 1024 * 1024,
            head_time: Duration::from_secs(5),
            body_time: Duration::from_secs(10),
            idle_time: Duration::from_secs(60),
            stall_time: Duration::from_secs(5),
            connections: 4_096,
            queue: 1_024,
        }
    }
}

/// Content of address answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AnswerSettings {
    /// Time for which a caller may keep an answer.
    #[serde(with = "humantime_serde")]
    pub keep: Duration,
    /// Number of entries that a customer is told to use, unless the sheet states one for it; if
    /// absent, as many as its share needs.
    pub entries: Option<u32>,
    /// Number of tickets in each answer.
    pub tickets: u32,
}

impl Default for AnswerSettings {
    fn default() -> Self {
        Self {
            keep: Duration::from_secs(5),
            entries: None,
            tickets: 4,
        }
    }
}

/// Lifetime of tickets and limits on those that are kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TicketSettings {
    /// Time after which a ticket expires.
    #[serde(with = "humantime_serde")]
    pub lifetime: Duration,
    /// Number of spent tickets that are kept at once.
    pub rows: usize,
    /// Total size of the recorded answers that are kept, in bytes.
    pub answer_bytes: usize,
}

impl Default for TicketSettings {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_secs(300),
            rows: 65_536,
            answer_bytes: 32 * 1024 * 1024,
        }
    }
}

/// Limits of the shutdown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ShutdownSettings {
    /// Longest time that running requests get to finish once new ones are refused.
    #[serde(with = "humantime_serde")]
    pub limit: Duration,
}

impl Default for ShutdownSettings {
    fn default() -> Self {
        Self {
            limit: Duration::from_secs(120),
        }
    }
}

impl EntrySettings {
    /// Checks what the types cannot express; `file` is the name of the settings file for the error.
    ///
    /// # Errors
    ///
    /// Names the first invalid key and what its value should be.
    pub fn check(&self, file: impl Into<String>) -> Result<(), StartError> {
        let file = file.into();
        let invalid = |key: &str, expected: &str| {
            Err(StartError::Settings(format!(
                "{file}: `{key}`: should be {expected}"
            )))
        };
        if self.host.is_empty() {
            return invalid("host", "the name of this host");
        }
        if self.size == 0 {
            return invalid("size", "at least 1");
        }
        if MemoryShares::of_settings(self.memory_mb).is_err() {
            return invalid("memory_mb", &format!("at least {MIN_MEMORY_MB}"));
        }
        if self.listen.callers.ip().is_unspecified() {
            return invalid("listen.callers", "an address that callers can connect to");
        }
        if self.listen.peers.ip().is_unspecified() && self.peers.advertise.is_none() {
            return invalid(
                "listen.peers",
                "an address that peers can reach, unless `peers.advertise` is set",
            );
        }
        if self.answers.entries == Some(0) {
            return invalid("answers.entries", "at least 1");
        }
        if self.tickets.lifetime.is_zero() {
            return invalid("tickets.lifetime", "longer than 0s");
        }
        if self.fleet_key().is_none() {
            return invalid("peers.key", "64 hexadecimal digits");
        }
        Ok(())
    }

    /// Returns what the parts of the process may use of its memory.
    pub fn memory_shares(&self) -> MemoryShares {
        let shares = MemoryShares::of_settings(self.memory_mb);
        shares.unwrap_or_else(|_| MemoryShares::new(machine_memory()))
    }

    /// Returns the key that all entries share as bytes; `None` if it is not 64 hexadecimal digits.
    pub fn fleet_key(&self) -> Option<[u8; FLEET_KEY_BYTES]> {
        let bytes = HEXLOWER_PERMISSIVE.decode(self.peers.key.as_bytes()).ok()?;
        bytes.try_into().ok()
    }
}

fn default_size() -> u32 {
    1
}

fn default_poll() -> Duration {
    Duration::from_secs(1)
}

fn default_read_time() -> Duration {
    Duration::from_secs(1)
}
