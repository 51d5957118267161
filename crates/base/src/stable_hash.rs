use {fnv::FnvHasher, std::hash::Hasher};

/// Hash over texts and numbers that is the same in every build and on every machine.
///
/// Hosts use it wherever they must agree without a message between them, for instance on the owner
/// of a shard. The hasher of the standard library may change with each release of the compiler, so
/// two builds in one fleet could disagree.
///
/// ```
/// use base::StableHash;
///
/// let hash = StableHash::new().with_text("pool").with_text("host").finish();
/// assert_eq!(hash, StableHash::new().with_text("pool").with_text("host").finish());
/// assert_ne!(hash, StableHash::new().with_text("poolhost").finish());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StableHash {
    /// State of the hasher.
    state: u64,
}

impl StableHash {
    /// Creates the hash of nothing.
    pub fn new() -> Self {
        Self {
            state: FnvHasher::default().finish(),
        }
    }

    /// Adds a text. Its length is added too, so that two texts differ from one that joins them.
    pub fn with_text(self, text: &str) -> Self {
        self.with_number(text.len() as u64)
            .with_bytes(text.as_bytes())
    }

    /// Adds a number.
    pub fn with_number(self, number: u64) -> Self {
        self.with_bytes(&number.to_le_bytes())
    }

    /// Returns the hash, with its bits mixed so that similar inputs differ in all of them.
    pub fn finish(self) -> u64 {
        mix_bits(self.state)
    }

    fn with_bytes(self, bytes: &[u8]) -> Self {
        let mut hasher = FnvHasher::with_key(self.state);
        hasher.write(bytes);
        Self {
            state: hasher.finish(),
        }
    }
}

impl Default for StableHash {
    fn default() -> Self {
        Self::new()
    }
}

/// Spreads the bits of a number over all bits of the result (the finaliser of SplitMix64).
///
/// ```
/// assert_ne!(base::mix_bits(1) >> 32, base::mix_bits(2) >> 32);
/// ```
pub fn mix_bits(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
