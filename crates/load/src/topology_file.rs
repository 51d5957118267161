use {
    base::{CentreId, HostId, PoolId, TargetId},
    serde::{Deserialize, Serialize},
    setup::StartError,
    sheet::PoolKind,
    std::path::Path,
};

/// Target stand-ins and entries of an experiment, as a TOML file lists them.
///
/// ```
/// let text = r#"
///     [[target]]
///     name = "ledger-1"
///     pool = "ledger"
///     kind = "plain"
///     data_centre = "north"
///     delay_ms = 20.0
///     [[entry]]
///     host = "h1"
///     data_centre = "north"
///     size = 2
/// "#;
/// let topology: load::TopologyFile = toml::from_str(text).unwrap();
/// assert_eq!(topology.entry[0].size, 2);
/// ```
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TopologyFile {
    /// Targets, each served by a stand-in.
    pub target: Vec<TargetSpec>,
    /// Hosts that run an entry.
    pub entry: Vec<EntrySpec>,
}

/// A target and the settings of its stand-in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSpec {
    /// Name of the target.
    pub name: TargetId,
    /// Pool that it belongs to.
    pub pool: PoolId,
    /// Kind of target: a plain service or an engine.
    pub kind: PoolKind,
    /// Data centre that it is in.
    pub data_centre: CentreId,
    /// Service time of a plain call in milliseconds.
    #[serde(default)]
    pub delay_ms: f64,
    /// Time per token of an engine in milliseconds.
    #[serde(default)]
    pub token_ms: f64,
    /// Time before the first token of an engine whose cache lacks the prompt, in milliseconds.
    #[serde(default)]
    pub prefill_ms: f64,
    /// Number of calls that run at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Divisor of all times: 2 runs twice as fast.
    #[serde(default = "one")]
    pub speed: f64,
    /// Models that an engine has loaded when it starts.
    #[serde(default)]
    pub models: Vec<String>,
}

/// A host that runs an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySpec {
    /// Name of the host.
    pub host: HostId,
    /// Data centre that it is in.
    pub data_centre: CentreId,
    /// Size of the host relative to the others.
    pub size: u32,
}

impl TopologyFile {
    /// Reads a topology file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is wrong; then names file, line and key.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, StartError> {
        setup::load_settings(path)
    }
}

impl TargetSpec {
    /// Returns the arguments of `camphor-stand` that start this target's stand-in.
    ///
    /// ```
    /// let target: load::TargetSpec = toml::from_str(
    ///     "name = \"l1\"\npool = \"l\"\nkind = \"plain\"\ndata_centre = \"n\"\ndelay_ms = 20.0",
    /// ).unwrap();
    /// assert_eq!(target.arguments(), "plain --name l1 --slots 8 --speed 1 --delay-ms 20");
    /// ```
    pub fn arguments(&self) -> String {
        let Self {
            name, slots, speed, ..
        } = self;
        let common = format!("--name {name} --slots {slots} --speed {speed}");
        match self.kind {
            PoolKind::Plain => format!("plain {common} --delay-ms {}", self.delay_ms),
            PoolKind::Engine => {
                let (token, prefill) = (self.token_ms, self.prefill_ms);
                let models: String = self
                    .models
                    .iter()
                    .map(|model| format!(" --model {model}"))
                    .collect();
                format!("engine {common} --token-ms {token} --prefill-ms {prefill}{models}")
            }
        }
    }
}

fn default_slots() -> u32 {
    8
}

fn one() -> f64 {
    1.0
}
