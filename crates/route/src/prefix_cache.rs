use {
    crate::PrefixKey,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Time without use after which a prefix counts as evicted from the engine.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// A prefix in the cache.
#[derive(Debug, Clone, Copy)]
struct CachedPrefix {
    /// Number of tokens of the prefix's last part.
    tokens: u32,
    last_used_at: Instant,
}

/// Estimate of the prompt prefixes that one engine has cached, from the prompts that this entry
/// sent to it.
#[derive(Debug, Default)]
pub struct PrefixCache {
    entries: HashMap<PrefixKey, CachedPrefix>,
    /// Sum of the tokens of all entries.
    tokens: u64,
}

impl PrefixCache {
    /// Returns the number of prompt tokens that the engine has not cached and has to read.
    pub fn unread_tokens(&self, prefixes: &[(PrefixKey, u32)], now: Instant) -> u32 {
        let cached = prefixes
            .iter()
            .take_while(|(key, _)| self.contains(*key, now));
        let cached_count = cached.count();
        let unread = prefixes[cached_count..].iter();
        unread.fold(0, |sum, (_, tokens)| sum.saturating_add(*tokens))
    }

    /// Records that the engine reads the prompt and caches its prefixes. Evicts the least recently
    /// used prefixes until at most `capacity` tokens are left, but keeps at least as many prefixes
    /// as the prompt has.
    pub fn record_prompt(&mut self, prefixes: &[(PrefixKey, u32)], capacity: u64, now: Instant) {
        for (key, tokens) in prefixes {
            let entry = CachedPrefix {
                tokens: *tokens,
                last_used_at: now,
            };
            let previous = self.entries.insert(*key, entry);
            self.tokens += u64::from(*tokens);
            self.tokens -= previous.map_or(0, |entry| u64::from(entry.tokens));
        }
        while self.tokens > capacity && self.entries.len() > prefixes.len() {
            self.evict_oldest();
        }
    }

    /// Removes all entries, since a restarted engine has an empty cache.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.tokens = 0;
    }

    fn contains(&self, key: PrefixKey, now: Instant) -> bool {
        let entry = self.entries.get(&key);
        entry.is_some_and(|entry| now.saturating_duration_since(entry.last_used_at) < IDLE_TIMEOUT)
    }

    fn evict_oldest(&mut self) {
        let oldest = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| entry.last_used_at);
        let Some((&key, &entry)) = oldest else {
            return;
        };
        self.entries.remove(&key);
        self.tokens -= u64::from(entry.tokens);
    }
}
