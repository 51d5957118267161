use {
    base::{CentreId, HostId},
    data_encoding::HEXLOWER_PERMISSIVE,
    member::MemberSettings,
    serde::{Deserialize, Serialize},
    setup::{LogLevel, StartError},
    std::{net::SocketAddr, time::Duration},
};

/// Bytes of the key that all entries share.
const KEY_BYTES: usize = 32;

/// Settings of an entry daemon, read once from a TOML file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of this host.
    pub host: HostId,
    /// Data centre that it stands in.
    pub data_centre: CentreId,
    /// Size relative to the other hosts.
    #[serde(default = "default_size")]
    pub size: u32,
    /// Where it listens.
    pub listen: ListenSettings,
    /// Where the platform is.
    pub platform: PlatformSettings,
    /// What all entries share.
    pub peers: PeerSettings,
    /// What is logged.
    #[serde(default)]
    pub log: LogSettings,
    /// Where metrics go.
    #[serde(default)]
    pub metrics: MetricSettings,
    /// Bounds on callers.
    #[serde(default)]
    pub limits: LimitSettings,
    /// What address answers say.
    #[serde(default)]
    pub answers: AnswerSettings,
    /// How tickets are minted.
    #[serde(default)]
    pub tickets: TicketSettings,
    /// How the daemon ends.
    #[serde(default)]
    pub shutdown: ShutdownSettings,
    /// How membership is kept.
    #[serde(default)]
    pub members: MemberSettings,
}

/// Addresses that the daemon listens on; port 0 lets the kernel choose.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// For callers, HTTP; they are told this very address.
    pub callers: SocketAddr,
    /// For peers, UDP and TCP; they are told this very address unless another one is advertised.
    pub peers: SocketAddr,
    /// For operators, HTTP.
    pub operators: SocketAddr,
}

/// The platform that the daemon reads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the configuration service and host list.
    pub address: SocketAddr,
    /// Shortest pause between two reads of the host list; it grows with the number of entries.
    #[serde(default = "default_poll", with = "humantime_serde")]
    pub poll: Duration,
    /// Time after which a read has failed.
    #[serde(default = "default_read_time", with = "humantime_serde")]
    pub read_time: Duration,
}

/// What all entries share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Secret of the fleet, 64 hexadecimal digits.
    pub key: String,
    /// Addresses of peers to try while the host list cannot be read.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address that peers reach this host under, where it is not the one it listens on.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
}

/// What is logged.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Least severe level.
    pub level: LogLevel,
}

/// Where metrics go.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MetricSettings {
    /// Address of a statsd server.
    pub statsd: Option<SocketAddr>,
}

/// Bounds on what callers may do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Bytes of a target's answer to one call.
    pub answer_bytes: usize,
    /// Time in which a request's head must arrive.
    #[serde(with = "humantime_serde")]
    pub head_time: Duration,
    /// Time in which a request's body must arrive.
    #[serde(with = "humantime_serde")]
    pub body_time: Duration,
    /// Time for which an idle connection is kept.
    #[serde(with = "humantime_serde")]
    pub idle_time: Duration,
    /// Time for which a caller may leave its stream unread.
    #[serde(with = "humantime_serde")]
    pub stall_time: Duration,
    /// Connections of callers that may be open at once.
    pub connections: usize,
    /// Calls that may wait for their turn, for each pool.
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

/// What address answers say.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AnswerSettings {
    /// Time for which a caller may keep an answer.
    #[serde(with = "humantime_serde")]
    pub keep: Duration,
    /// Entries that a customer is told to use; absent means as many as its share needs.
    pub entries: Option<u32>,
    /// Tickets in each answer.
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

/// How tickets are minted and kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TicketSettings {
    /// Time for which a ticket is good.
    #[serde(with = "humantime_serde")]
    pub lifetime: Duration,
    /// Spent tickets that are kept at once.
    pub rows: usize,
    /// Bytes of recorded answers that are kept.
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

/// How the daemon ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ShutdownSettings {
    /// Longest time that running requests are waited for.
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
    /// Checks what the types cannot express; `file` stands in the error.
    ///
    /// # Errors
    ///
    /// Names the key and what would be right.
    pub fn check(&self, file: impl Into<String>) -> Result<(), StartError> {
        let file = file.into();
        let wrong = |key: &str, right: &str| {
            Err(StartError::Settings(format!(
                "{file}: `{key}`: should be {right}"
            )))
        };
        if self.host.is_empty() {
            return wrong("host", "the name of this host");
        }
        if self.size == 0 {
            return wrong("size", "at least 1");
        }
        if self.listen.callers.ip().is_unspecified() {
            return wrong("listen.callers", "an address that callers can connect to");
        }
        if self.listen.peers.ip().is_unspecified() && self.peers.advertise.is_none() {
            return wrong(
                "listen.peers",
                "one that peers can reach, or set `peers.advertise`",
            );
        }
        if self.answers.entries == Some(0) {
            return wrong("answers.entries", "at least 1");
        }
        if self.tickets.lifetime.is_zero() {
            return wrong("tickets.lifetime", "longer than 0s");
        }
        if self.fleet_key().is_none() {
            return wrong("peers.key", "64 hexadecimal digits");
        }
        Ok(())
    }

    /// Secret of the fleet as bytes.
    pub fn fleet_key(&self) -> Option<[u8; KEY_BYTES]> {
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
