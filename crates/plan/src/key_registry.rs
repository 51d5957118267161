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

/// Stands among the keys of a registry that needs keys, whatever keys it has. No request carries it,
/// since a header has no such character; builds that know nothing of it need keys because of it too.
const KEYS_NEEDED: &str = "\0";

/// API keys in force, with the organisation that owns each.
///
/// Whether requests need a key is said apart from the keys: once the last key is taken away, no
/// request has one.
///
/// ```
/// let mut registry = plan::KeyRegistry::default();
/// assert!(!registry.needs_key());
/// registry.require_keys();
/// assert!(registry.needs_key() && registry.owner("k1").is_none());
/// ```
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

    /// Records that requests need a key, even if there is none.
    pub fn require_keys(&mut self) {
        let nobody = KeyOwner {
            organisation: String::new(),
            priority: None,
        };
        self.insert(KEYS_NEEDED, nobody);
    }

    /// Returns the owner of the key, or `None` if the key is unknown. The empty key is nobody's.
    pub fn owner(&self, key: &str) -> Option<&KeyOwner> {
        let is_key = !key.is_empty() && key != KEYS_NEEDED;
        self.owners.get(key).filter(|_| is_key)
    }

    /// Returns the priorities that organisations have in place of those of the routes.
    pub fn priorities(&self) -> impl Iterator<Item = u8> {
        self.owners.values().filter_map(|owner| owner.priority)
    }

    /// Returns true if requests need a key.
    pub fn needs_key(&self) -> bool {
        !self.owners.is_empty()
    }
}
