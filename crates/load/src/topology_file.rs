use {
    base::{CentreId, HostId, PoolId, TargetId},
    serde::{Deserialize, Serialize},
    setup::StartError,
    sheet::PoolKind,
    std::path::Path,
};

/// Stand-ins and entries of an experiment, as they stand in a TOML file.
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
    /// Targets.
    pub target: Vec<TargetSpec>,
    /// Entry hosts.
    pub entry: Vec<EntrySpec>,
}

/// A target and how its stand-in behaves.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSpec {
    /// Name of the target.
    pub name: TargetId,
    /// Pool that it serves.
    pub pool: PoolId,
    /// What it is.
    pub kind: PoolKind,
    /// Data centre that it stands in.
    pub data_centre: CentreId,
    /// Service time of a plain call in milliseconds.
    #[serde(default)]
    pub delay_ms: f64,
    /// Time between two tokens of an engine in milliseconds.
    #[serde(default)]
    pub token_ms: f64,
    /// Time before the first token of a prompt that is not cached, in milliseconds.
    #[serde(default)]
    pub prefill_ms: f64,
    /// Calls that run at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Every time is divided by this.
    #[serde(default = "one")]
    pub speed: f64,
    /// Models that an engine has loaded at the start.
    #[serde(default)]
    pub models: Vec<String>,
}

/// An entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySpec {
    /// Name of the host.
    pub host: HostId,
    /// Data centre that it stands in.
    pub data_centre: CentreId,
    /// Size relative to the other hosts.
    pub size: u32,
}

impl TopologyFile {
    /// Reads a topology file.
    ///
    /// # Errors
    ///
    /// Names file, line and key of what is wrong.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, StartError> {
        setup::load_settings(path)
    }
}

impl TargetSpec {
    /// Arguments of `camphor-stand` that start this target.
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
