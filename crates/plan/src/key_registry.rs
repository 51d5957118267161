use {
    serde::{Deserialize, Serialize},
    std::collections::HashMap,
};

/// Organisation that an API key belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyOwner {
    /// Name of the organisation.
    pub organisation: String,
    /// Priority of its requests, where 0 goes first; `None` means the priority of the route.
    pub priority: Option<u8>,
}

/// API keys in force, with the organisation that owns each.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRegistry {
    owners: HashMap<String, KeyOwner>,
}

impl KeyRegistry {
    /// Adds a key, or replaces its owner.
    ///
    /// ```
    /// let mut registry = plan::KeyRegistry::default();
    /// let farm = plan::KeyOwner { organisation: String::from("farm"), priority: None };
    /// registry.insert("k1", farm);
    /// assert_eq!(registry.owner("k1").unwrap().organisation, "farm");
    /// assert!(registry.owner("k2").is_none());
    /// ```
    pub fn insert(&mut self, key: impl Into<String>, owner: KeyOwner) {
        self.owners.insert(key.into(), owner);
    }

    /// Returns the owner of the key, or `None` if the key is unknown.
    pub fn owner(&self, key: &str) -> Option<&KeyOwner> {
        self.owners.get(key)
    }

    /// Returns the priorities that organisations have in place of those of the routes.
    pub fn priorities(&self) -> impl Iterator<Item = u8> {
        self.owners.values().filter_map(|owner| owner.priority)
    }

    /// Returns true if the configuration has no keys; requests then need none.
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }
}
