use std::hash::{DefaultHasher, Hash, Hasher};

/// One part of a prompt, in the order in which the parts follow each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Its id.
    pub id: String,
    /// Its tokens.
    pub tokens: u32,
}

/// A part with all parts before it, which is what an engine can find in its cache.
pub type PrefixKey = u64;

/// Keys of a prompt's chains with their own tokens, shortest first.
///
/// ```
/// use route::{PromptPart, prefix_keys};
///
/// let part = |id| PromptPart { id: String::from(id), tokens: 5 };
/// let one = prefix_keys(&[part("a"), part("b")]);
/// let other = prefix_keys(&[part("a"), part("c")]);
/// assert_eq!(one[0], other[0]);
/// assert_ne!(one[1], other[1]);
/// ```
pub fn prefix_keys(parts: &[PromptPart]) -> Vec<(PrefixKey, u32)> {
    let mut hasher = DefaultHasher::new();
    let keys = parts.iter().map(|part| {
        part.id.hash(&mut hasher);
        (hasher.finish(), part.tokens)
    });
    keys.collect()
}
