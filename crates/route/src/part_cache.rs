use {
    crate::PrefixKey,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Time after which a part that was not used counts as gone.
const PART_LIFE: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Copy)]
struct CachedPart {
    tokens: u32,
    used: Instant,
}

/// What one engine keeps of prompts, as far as this entry sent them there.
#[derive(Debug, Default)]
pub struct PartCache {
    parts: HashMap<PrefixKey, CachedPart>,
    tokens: u64,
}

impl PartCache {
    /// Tokens of the prompt that the engine has to read.
    pub fn unread_tokens(&self, prefixes: &[(PrefixKey, u32)], now: Instant) -> u32 {
        let cached = prefixes.iter().take_while(|(key, _)| self.has(*key, now));
        let cached = cached.count();
        prefixes[cached..].iter().map(|(_, tokens)| tokens).sum()
    }

    /// Records that the engine reads the prompt; the least recently used parts yield.
    pub fn read(&mut self, prefixes: &[(PrefixKey, u32)], capacity: u64, now: Instant) {
        for (key, tokens) in prefixes {
            let part = CachedPart {
                tokens: *tokens,
                used: now,
            };
            let before = self.parts.insert(*key, part);
            self.tokens += u64::from(*tokens);
            self.tokens -= before.map_or(0, |part| u64::from(part.tokens));
        }
        while self.tokens > capacity && self.parts.len() > prefixes.len() {
            self.drop_oldest();
        }
    }

    /// Forgets everything, as the engine did when it started anew.
    pub fn clear(&mut self) {
        self.parts.clear();
        self.tokens = 0;
    }

    fn has(&self, key: PrefixKey, now: Instant) -> bool {
        let part = self.parts.get(&key);
        part.is_some_and(|part| now.saturating_duration_since(part.used) < PART_LIFE)
    }

    fn drop_oldest(&mut self) {
        let oldest = self.parts.iter().min_by_key(|(_, part)| part.used);
        let Some((&key, &part)) = oldest else {
            return;
        };
        self.parts.remove(&key);
        self.tokens -= u64::from(part.tokens);
    }
}
