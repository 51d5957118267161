use {
    base::HostList,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// A value with the revision of its last change.
#[derive(Debug, Clone)]
pub struct StoredValue {
    /// Revision of the store at that change; it grows with each change of any value.
    pub revision: u64,
    /// Text of the value.
    pub text: String,
}

/// A published host list with its revision and time.
#[derive(Debug, Clone)]
struct StoredList {
    revision: u64,
    published_at: Instant,
    list: HostList,
}

/// Values and host lists that operators have published.
#[derive(Debug, Clone, Default)]
pub struct PlatformStore {
    revision: u64,
    values: BTreeMap<String, StoredValue>,
    /// All host lists, the oldest first, since readers may see an older one.
    host_lists: Vec<StoredList>,
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
        self.host_lists.push(StoredList {
            revision: self.revision,
            published_at: now,
            list,
        });
        self.revision
    }

    /// Returns the value under a key.
    pub fn value(&self, key: &str) -> Option<StoredValue> {
        self.values.get(key).cloned()
    }

    /// Returns the latest host list that was published at least `lag` before `now`.
    pub fn hosts(&self, now: Instant, lag: Duration) -> Option<StoredValue> {
        let visible = self
            .host_lists
            .iter()
            .rev()
            .find(|stored| now.duration_since(stored.published_at) >= lag)?;
        Some(StoredValue {
            revision: visible.revision,
            text: serde_json::to_string(&visible.list).unwrap_or_default(),
        })
    }
}
