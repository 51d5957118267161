use {
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// Priority of a request; earlier variants are served first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RequestPriority {
    /// A person or machine is blocked until the answer arrives.
    Urgent,
    /// Priority of a request that names none.
    #[default]
    Normal,
    /// Background work that may be delayed up to its deadline.
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
                "unknown priority `{other}`: expected urgent, normal or bulk"
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
