use {
    crate::settings_time,
    serde::Deserialize,
    setup::{LogLevel, StartError},
    std::{net::SocketAddr, time::Duration},
};

/// Settings of an entry that relays requests.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Name of the host.
    pub host: String,
    /// Data centre that it stands in.
    pub data_centre: String,
    /// Addresses that it listens on.
    pub listen: ListenSettings,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Other entries.
    pub peers: PeerSettings,
    /// Bounds that the operator sets.
    pub bounds: BoundSettings,
    /// Share of a core that the process has.
    pub core_share: f64,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
}

/// Addresses to listen on.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// For requests of callers.
    pub callers: SocketAddr,
    /// For the platform's question whether the process takes requests.
    pub ready: SocketAddr,
    /// For callers' question for addresses.
    pub addresses: SocketAddr,
    /// For operators: metrics and state.
    pub operators: SocketAddr,
    /// For other entries, over TCP and UDP.
    pub peers: SocketAddr,
}

/// Other entries.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Addresses of some of them, `ip:port`.
    pub seeds: Vec<SocketAddr>,
    /// Port for peers at the seeds, if their addresses name another port.
    pub seed_port: Option<u16>,
    /// Key that all entries share, 64 hexadecimal digits.
    pub key: String,
}

/// Bounds that the operator sets.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoundSettings {
    /// Time from the request to end until the process is killed.
    #[serde(rename = "grace_s", deserialize_with = "settings_time::seconds")]
    pub grace: Duration,
    /// Time in which a key that was taken away must be out of use.
    #[serde(rename = "revoke_ms", deserialize_with = "settings_time::millis")]
    pub revoke: Duration,
    /// Repeats for each request.
    pub repeat_ratio: f64,
    /// Repeats in a window beyond that, of all entries together.
    pub repeat_extra: f64,
    /// Length of that window.
    #[serde(
        rename = "repeat_window_s",
        deserialize_with = "settings_time::seconds"
    )]
    pub repeat_window: Duration,
    /// Longest time for which callers may keep addresses.
    #[serde(rename = "address_keep_s", deserialize_with = "settings_time::seconds")]
    pub address_keep: Duration,
}

/// Logs.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Least severe level that is written.
    pub level: LogLevel,
}

impl RelaySettings {
    /// Checks what the types alone cannot.
    ///
    /// # Errors
    ///
    /// Names the key that is wrong.
    pub fn check(&self) -> Result<(), StartError> {
        let wrong = |text: String| Err(StartError::Settings(text));
        if self.peer_identity().is_none() {
            return wrong(String::from("peers.key: must be 64 hexadecimal digits"));
        }
        if self.bounds.grace < Duration::from_secs(1) {
            return wrong(format!(
                "bounds.grace: {:?} is under 1 s",
                self.bounds.grace
            ));
        }
        if self.core_share.is_nan() || self.core_share <= 0.0 {
            return wrong(format!("core_share: {} is not above 0", self.core_share));
        }
        Ok(())
    }

    /// The key as bytes.
    pub fn peer_identity(&self) -> Option<[u8; 32]> {
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

    /// Addresses of seeds for peers.
    pub fn peer_seeds(&self) -> impl Iterator<Item = SocketAddr> {
        let port = self.peers.seed_port;
        let seeds = self.peers.seeds.iter();
        seeds.map(move |seed| SocketAddr::new(seed.ip(), port.unwrap_or(seed.port())))
    }
}
