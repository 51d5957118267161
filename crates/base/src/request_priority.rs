use {
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// How urgent a request is; an earlier variant goes first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RequestPriority {
    /// Someone waits at a gate.
    Urgent,
    /// Ordinary work.
    #[default]
    Normal,
    /// Work that may wait until its deadline.
    Bulk,
}

impl FromStr for RequestPriority {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "urgent" => Ok(Self::Urgent),
            "normal" => Ok(Self::Normal),
            "bulk" => Ok(Self::Bulk),
            other => Err(format!(
                "priority `{other}` is none of urgent, normal, bulk"
            )),
        }
    }
}

impl fmt::Display for RequestPriority {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
            Self::Bulk => "bulk",
        };
        formatter.write_str(text)
    }
}
