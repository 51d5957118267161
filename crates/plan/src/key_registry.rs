use std::collections::HashMap;

/// Organisation that a key belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyOwner {
    /// Name of the organisation.
    pub organisation: String,
    /// Rank of its requests, 0 first; the route's own rank holds if absent.
    pub priority: Option<u8>,
}

/// Keys in force and whose they are.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KeyRegistry {
    owners: HashMap<String, KeyOwner>,
}

impl KeyRegistry {
    /// Adds a key.
    ///
    /// ```
    /// let mut book = plan::KeyRegistry::default();
    /// let farm = plan::KeyOwner { organisation: String::from("farm"), priority: None };
    /// book.insert("k1", farm);
    /// assert_eq!(book.owner("k1").unwrap().organisation, "farm");
    /// assert!(book.owner("k2").is_none());
    /// ```
    pub fn insert(&mut self, key: impl Into<String>, owner: KeyOwner) {
        self.owners.insert(key.into(), owner);
    }

    /// Organisation that holds the key.
    pub fn owner(&self, key: &str) -> Option<&KeyOwner> {
        self.owners.get(key)
    }

    /// True if the configuration names no organisation at all.
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }
}
