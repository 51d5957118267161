use std::collections::VecDeque;

/// Prefixes of prompts that an engine remembers; the one unused for longest goes first.
pub struct EngineCache {
    prefix_bytes: usize,
    capacity: usize,
    recent: VecDeque<blake3::Hash>,
}

impl EngineCache {
    /// Empty cache for `capacity` prefixes of `prefix_bytes` bytes.
    pub fn new(prefix_bytes: usize, capacity: usize) -> Self {
        Self {
            prefix_bytes,
            capacity,
            recent: VecDeque::new(),
        }
    }

    /// Remembers the prefix of a prompt; true if it was remembered already.
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
