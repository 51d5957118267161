use std::collections::VecDeque;

/// Prompt prefixes that an engine has cached; the least recently used one is evicted first.
pub struct PrefixCache {
    prefix_bytes: usize,
    capacity: usize,
    /// Hashes of the prefixes, the least recently used one first.
    recent: VecDeque<blake3::Hash>,
}

impl PrefixCache {
    /// Creates an empty cache for `capacity` prefixes of `prefix_bytes` bytes.
    pub fn new(prefix_bytes: usize, capacity: usize) -> Self {
        Self {
            prefix_bytes,
            capacity,
            recent: VecDeque::new(),
        }
    }

    /// Marks the prefix of a prompt as used now; returns true if it was cached already.
    pub fn touch(&mut self, prompt: &[u8]) -> bool {
        let prefix = &prompt[..prompt.len().min(self.prefix_bytes)];
        let hash = blake3::hash(prefix);
        let found = self.recent.iter().position(|known| *known == hash);
        if let Some(position) = found {
            self.recent.remove(position);
        }
        self.recent.push_back(hash);
        if self.recent.len() > self.capacity {
            self.recent.pop_front();
        }
        found.is_some()
    }
}
