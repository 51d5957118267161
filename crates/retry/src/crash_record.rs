use {
    base::StageIndex,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Identity of a request's content: the same for every send of it, on every entry.
pub type CrashFingerprint = [u8; 16];

/// Fingerprint of what a caller sent.
///
/// ```
/// let one = retry::fingerprint("farm", "receipts", b"fuel");
/// assert_eq!(one, retry::fingerprint("farm", "receipts", b"fuel"));
/// assert_ne!(one, retry::fingerprint("farm", "receipt", b"sfuel"));
/// ```
pub fn fingerprint(customer: &str, pipeline: &str, body: &[u8]) -> CrashFingerprint {
    let mut hasher = blake3::Hasher::new();
    for part in [customer.as_bytes(), pipeline.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut short = CrashFingerprint::default();
    hasher.finalize_xof().fill(&mut short);
    short
}

/// Strikes that a request has from one target at one stage; both counts only grow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStrikes {
    /// Short hash of the target's name.
    pub target: u64,
    /// Stage that the target ran when it died.
    pub stage: StageIndex,
    /// Times that the target died while it ran the request.
    pub strikes: u32,
    /// How many of them a whole run has shown to be another request's fault.
    pub cleared: u32,
}

/// A call of a request to a target, as the crash tracker sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrackedCall<'a> {
    /// The request.
    pub fingerprint: CrashFingerprint,
    /// Stage that is to run.
    pub stage: StageIndex,
    /// Target that is to run it.
    pub target: &'a str,
}

/// What an entry tells its peers about a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The request.
    pub fingerprint: CrashFingerprint,
    /// Its strikes by target.
    pub victims: Vec<TargetStrikes>,
    /// Time for which the record still holds.
    pub remaining: Duration,
}

/// Short hash of a name.
pub fn short_hash(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    let mut short = [0; 8];
    short.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(short)
}
