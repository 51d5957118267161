use {
    base::HostList,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// A value with its revision.
#[derive(Debug, Clone)]
pub struct StoredValue {
    /// Larger after each change of any value.
    pub revision: u64,
    /// Text of the value.
    pub text: String,
}

/// A host list with the time at which it was published.
#[derive(Debug, Clone)]
struct StoredList {
    revision: u64,
    published: Instant,
    list: HostList,
}

/// What operators have published.
#[derive(Debug, Clone, Default)]
pub struct PlatformStore {
    revision: u64,
    values: BTreeMap<String, StoredValue>,
    lists: Vec<StoredList>,
}

impl PlatformStore {
    /// Stores a value; returns its revision.
    pub fn put_value(&mut self, key: impl Into<String>, text: impl Into<String>) -> u64 {
        self.revision += 1;
        let value = StoredValue {
            revision: self.revision,
            text: text.into(),
        };
        self.values.insert(key.into(), value);
        self.revision
    }

    /// Stores a host list; returns its revision.
    pub fn put_hosts(&mut self, list: HostList, now: Instant) -> u64 {
        self.revision += 1;
        self.lists.push(StoredList {
            revision: self.revision,
            published: now,
            list,
        });
        self.revision
    }

    /// A value as readers see it.
    pub fn value(&self, key: &str) -> Option<StoredValue> {
        self.values.get(key).cloned()
    }

    /// The host list as readers see it that lags behind by `lag`.
    pub fn hosts(&self, now: Instant, lag: Duration) -> Option<StoredValue> {
        let seen = self
            .lists
            .iter()
            .rev()
            .find(|stored| now.duration_since(stored.published) >= lag)?;
        Some(StoredValue {
            revision: seen.revision,
            text: serde_json::to_string(&seen.list).unwrap_or_default(),
        })
    }
}
