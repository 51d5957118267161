use {
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// Reading of a hybrid logical clock: if one event happened before another, its time is less.
///
/// ```
/// use stamp::HybridTime;
///
/// let time: HybridTime = "1700000000000000.3".parse().unwrap();
/// assert!(time < HybridTime::new(1_700_000_000_000_000, 4));
/// assert_eq!(time.to_string(), "1700000000000000.3");
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HybridTime {
    /// Physical part, in microseconds since the Unix epoch.
    pub physical_us: u64,
    /// Counter that orders events with the same physical part.
    pub counter: u32,
}

impl HybridTime {
    /// Creates a time from its physical part and its counter.
    pub fn new(physical_us: u64, counter: u32) -> Self {
        Self {
            physical_us,
            counter,
        }
    }

    /// Returns the next larger time; at the largest time of all it starts over at counter 0.
    pub fn successor(self) -> Self {
        match self.counter.checked_add(1) {
            Some(counter) => Self { counter, ..self },
            None => Self::new(self.physical_us.saturating_add(1), 0),
        }
    }
}

impl fmt::Display for HybridTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.physical_us, self.counter)
    }
}

impl FromStr for HybridTime {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || format!("invalid time `{text}`: expected `microseconds.counter`");
        let (physical, counter) = text.split_once('.').ok_or_else(malformed)?;
        Ok(Self {
            physical_us: physical.parse().map_err(|_| malformed())?,
            counter: counter.parse().map_err(|_| malformed())?,
        })
    }
}
