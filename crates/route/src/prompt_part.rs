use base::StableHash;

/// One part of a prompt. A prompt is a list of parts in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the content; equal ids mean equal content.
    pub id: String,
    /// Number of tokens of the part.
    pub tokens: u32,
}

/// Hash of a prompt prefix, which consists of a part and all parts before it. Engines cache whole
/// prefixes.
pub type PrefixKey = u64;

/// Returns the keys of a prompt's prefixes, shortest first, each with the number of tokens of its
/// last part.
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
    let mut hash = StableHash::new();
    let keys = parts.iter().map(|part| {
        hash = hash.with_text(&part.id);
        (hash.finish(), part.tokens)
    });
    keys.collect()
}
