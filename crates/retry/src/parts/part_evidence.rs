use {
    crate::CrashFingerprint,
    base::StableHash,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Maximum number of parts of one prompt that are tracked.
const MAX_PARTS: usize = 64;
/// Maximum number of crashes in one message.
const MAX_CRASHES: usize = 8;
/// Maximum number of parts of each crash in a message.
const MAX_CRASH_PARTS: usize = 8;
/// Maximum number of proofs in one message.
const MAX_PROOFS: usize = 32;

/// Lowest bits of the key of a whole request. By chance the key of a part has them too, one in a
/// million times; its first trial then comes as late as that of a request.
const REQUEST_MARK: u64 = 0x5_1d3a;
/// Bits of a key that hold the mark.
const REQUEST_MARK_BITS: u64 = 0xf_ffff;

/// Hash of the id of one part of a prompt, or of a whole request, the same on every entry.
pub type PartKey = u64;

/// Hash of the process of a target, which ends once.
pub type CrashKey = u64;

/// The end of a target's process under requests whose answers had not begun. One of their parts, or
/// none, made it crash.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCrash {
    /// The process that ended.
    pub crash: CrashKey,
    /// Parts of these requests that were not known to be sound.
    pub parts: Vec<PartKey>,
    /// True if one of the requests was a trial of a suspect part.
    pub is_trial: bool,
    /// Time since the crash.
    pub age: Duration,
}

/// A part on which a target has written an answer without crashing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartProof {
    /// The part.
    pub part: PartKey,
    /// Time since the answer.
    pub age: Duration,
}

/// What entries tell each other about the parts of prompts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartNews {
    /// Crashes.
    pub crashes: Vec<PartCrash>,
    /// Parts that are sound although a crash is blamed on them.
    pub proofs: Vec<PartProof>,
}

impl PartNews {
    /// Returns true if there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.proofs.is_empty()
    }

    /// Splits the news into messages that each fit in a datagram.
    ///
    /// ```
    /// use retry::{PartNews, PartProof};
    ///
    /// let proof = PartProof { part: 1, age: std::time::Duration::ZERO };
    /// let news = PartNews { crashes: Vec::new(), proofs: vec![proof; 40] };
    /// assert!(news.split().len() > 1);
    /// ```
    pub fn split(self) -> Vec<Self> {
        let crashes: Vec<PartCrash> = self.crashes.into_iter().flat_map(split_crash).collect();
        let of_crashes = crashes.chunks(MAX_CRASHES).map(|crashes| Self {
            crashes: crashes.to_vec(),
            proofs: Vec::new(),
        });
        let of_proofs = self.proofs.chunks(MAX_PROOFS).map(|proofs| Self {
            crashes: Vec::new(),
            proofs: proofs.to_vec(),
        });
        of_crashes.chain(of_proofs).collect()
    }
}

/// Splits a crash with many parts into several with few, which the recipient joins again.
fn split_crash(crash: PartCrash) -> Vec<PartCrash> {
    let parts = crash.parts.chunks(MAX_CRASH_PARTS);
    let crashes = parts.map(|parts| PartCrash {
        parts: parts.to_vec(),
        ..crash
    });
    crashes.collect()
}

/// Returns the keys of the parts of a prompt that other prompts may share, without duplicates. The
/// last part is left out, since it belongs to the request itself. Of a very long prompt only the last
/// shared parts are returned, since the first ones are shared most.
///
/// ```
/// assert_eq!(retry::part_keys(["system", "farm", "own"]).len(), 2);
/// assert!(retry::part_keys(["own"]).is_empty());
/// ```
pub fn part_keys<'a>(ids: impl IntoIterator<Item = &'a str>) -> Vec<PartKey> {
    let hash = |id: &str| StableHash::new().with_text(id).finish();
    let mut parts: Vec<PartKey> = ids.into_iter().map(hash).collect();
    parts.pop();
    let skipped_count = parts.len().saturating_sub(MAX_PARTS);
    parts.drain(..skipped_count);
    parts.sort_unstable();
    parts.dedup();
    parts
}

/// Returns the key that stands for a whole request among the parts of prompts: what crashes targets
/// may be the request itself, whether it has a prompt or not.
///
/// ```
/// let one = retry::request_key(&retry::fingerprint("farm", "/view", b""));
/// let other = retry::request_key(&retry::fingerprint("farm", "/list", b""));
/// assert_ne!(one, other);
/// ```
pub fn request_key(fingerprint: &CrashFingerprint) -> PartKey {
    let numbers = fingerprint.chunks(8).map(leading_number);
    let hash = numbers
        .fold(StableHash::new(), StableHash::with_number)
        .finish();
    (hash & !REQUEST_MARK_BITS) | REQUEST_MARK
}

/// Returns the number that up to eight bytes hold.
fn leading_number(bytes: &[u8]) -> u64 {
    let digits = bytes.iter().rev();
    digits.fold(0, |number, byte| number << 8 | u64::from(*byte))
}

/// Returns true if the key stands for a whole request.
pub(super) fn is_request_key(key: PartKey) -> bool {
    key & REQUEST_MARK_BITS == REQUEST_MARK
}

/// Returns the key of the process of the target with this id that started at this time, in
/// milliseconds since the Unix epoch or 0 if unknown.
///
/// ```
/// assert_ne!(retry::crash_key("t1", 1), retry::crash_key("t1", 2));
/// ```
pub fn crash_key(target: &str, started_ms: u64) -> CrashKey {
    let hash = StableHash::new().with_text(target);
    hash.with_number(started_ms).finish()
}
