use {
    crate::settings_time,
    room::{MemoryShares, machine_memory},
    serde::Deserialize,
    setup::{LogLevel, StartError},
    std::{net::SocketAddr, time::Duration},
};

/// Largest number of repeats that settings can allow.
const MAX_REPEATS: f64 = 1e6;

/// Settings of an entry, read from a TOML file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Name of the host, unique among the entries.
    pub host: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Addresses on which the entry listens.
    pub listen: ListenSettings,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// How to reach the other entries.
    pub peers: PeerSettings,
    /// Limits that the operator sets.
    pub bounds: BoundSettings,
    /// Share of a CPU core that the process may use.
    pub core_share: f64,
    /// Memory that the process may use, in MB; by default that of the machine.
    pub memory_mb: Option<f64>,
    /// Log output.
    #[serde(default)]
    pub log: LogSettings,
}

/// Addresses to listen on.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Address for requests of callers.
    pub callers: SocketAddr,
    /// Address for readiness checks of the platform.
    pub ready: SocketAddr,
    /// Address for callers' queries for the addresses of entries.
    pub addresses: SocketAddr,
    /// Address for operators' requests for metrics.
    pub operators: SocketAddr,
    /// Address for messages of other entries, over TCP and UDP.
    pub peers: SocketAddr,
    /// Address for requests that other entries hand over while they have no links to targets; by
    /// default the port after that of `peers`.
    pub hops: Option<SocketAddr>,
}

impl ListenSettings {
    /// Returns the address for requests that other entries hand over.
    pub fn hop_address(&self) -> SocketAddr {
        let next_port = SocketAddr::new(self.peers.ip(), self.peers.port().wrapping_add(1));
        self.hops.unwrap_or(next_port)
    }
}

/// How to reach the other entries.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Addresses of entries that are contacted first, `ip:port`.
    pub seeds: Vec<SocketAddr>,
    /// Port on which the seeds listen for entries, if it is not the port of their addresses.
    pub seed_port: Option<u16>,
    /// Secret key that all entries share, 64 hexadecimal digits.
    pub key: String,
}

/// Limits that the operator sets.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoundSettings {
    /// Time from SIGTERM until the process is killed.
    #[serde(rename = "grace_s", deserialize_with = "settings_time::seconds")]
    pub grace: Duration,
    /// Maximum time for which a key may still be accepted after it was revoked.
    #[serde(rename = "revoke_ms", deserialize_with = "settings_time::millis")]
    pub revoke: Duration,
    /// Number of repeated sends that are allowed per request, on average.
    pub repeat_ratio: f64,
    /// Further repeated sends that all entries together may make per window.
    pub repeat_extra: f64,
    /// Length of the window for `repeat_extra`.
    #[serde(
        rename = "repeat_window_s",
        deserialize_with = "settings_time::seconds"
    )]
    pub repeat_window: Duration,
    /// Maximum time for which callers may cache addresses.
    #[serde(rename = "address_keep_s", deserialize_with = "settings_time::seconds")]
    pub address_keep: Duration,
}

impl BoundSettings {
    /// Checks the budget for repeats; the error names the first key with an invalid value.
    fn check_repeats(&self) -> Result<(), String> {
        let counts = [
            ("bounds.repeat_ratio", self.repeat_ratio),
            ("bounds.repeat_extra", self.repeat_extra),
        ];
        // Not a number is in no range either.
        let odd_count = counts
            .into_iter()
            .find(|(_, count)| !(0.0..=MAX_REPEATS).contains(count));
        if let Some((key, count)) = odd_count {
            return Err(format!("{key}: {count} is not from 0 to {MAX_REPEATS}"));
        }
        match self.repeat_window.is_zero() {
            true => Err(String::from("bounds.repeat_window_s: is not above 0")),
            false => Ok(()),
        }
    }
}

/// Log output.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Least severe level that is logged.
    pub level: LogLevel,
}

impl RelaySettings {
    /// Validates what the types alone cannot express.
    ///
    /// # Errors
    ///
    /// Names the first key with an invalid value.
    pub fn check(&self) -> Result<(), StartError> {
        let invalid = |text: String| Err(StartError::Settings(text));
        if self.peer_key().is_none() {
            return invalid(String::from("peers.key: must be 64 hexadecimal digits"));
        }
        if self.bounds.grace < Duration::from_secs(1) {
            return invalid(format!(
                "bounds.grace_s: {:?} is under 1 s",
                self.bounds.grace
            ));
        }
        let hops = self.listen.hop_address();
        if [
            self.listen.callers,
            self.listen.operators,
            self.listen.peers,
        ]
        .contains(&hops)
        {
            return invalid(format!("listen.hops: {hops} is listened on already"));
        }
        if let Err(fault) = MemoryShares::of_settings(self.memory_mb) {
            return invalid(format!("memory_mb: {fault}"));
        }
        if !self.core_share.is_finite() || self.core_share <= 0.0 {
            return invalid(format!("core_share: {} is not above 0", self.core_share));
        }
        self.bounds.check_repeats().map_err(StartError::Settings)
    }

    /// Returns what the parts of the process may use of its memory.
    pub fn memory_shares(&self) -> MemoryShares {
        let shares = MemoryShares::of_settings(self.memory_mb);
        shares.unwrap_or_else(|_| MemoryShares::new(machine_memory()))
    }

    /// Returns the shared key of the entries as bytes, or `None` if it is not 64 hexadecimal
    /// digits.
    pub fn peer_key(&self) -> Option<[u8; 32]> {
        let text = self.peers.key.as_bytes();
        let mut key = [0; 32];
        if text.len() != 64 {
            return None;
        }
        for (byte, digits) in key.iter_mut().zip(text.chunks(2)) {
            let digits = std::str::from_utf8(digits).ok()?;
            *byte = u8::from_str_radix(digits, 16).ok()?;
        }
        Some(key)
    }

    /// Returns the addresses at which the seeds listen for entries.
    pub fn peer_seeds(&self) -> impl Iterator<Item = SocketAddr> {
        let port = self.peers.seed_port;
        let seeds = self.peers.seeds.iter();
        seeds.map(move |seed| SocketAddr::new(seed.ip(), port.unwrap_or(seed.port())))
    }
}
