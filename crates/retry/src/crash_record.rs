use {
    base::StageIndex,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Hash of a request's content; the same on every entry, however often the request is sent.
pub type CrashFingerprint = [u8; 16];

/// Computes the fingerprint of a request. Each part is hashed after its length, so that text which
/// moves from one part to the next gives another fingerprint.
///
/// ```
/// let one = retry::fingerprint("farm", "receipts", b"fuel");
/// assert_eq!(one, retry::fingerprint("farm", "receipts", b"fuel"));
/// assert_ne!(one, retry::fingerprint("farm", "receipt", b"sfuel"));
/// ```
pub fn fingerprint(customer: &str, pipeline: &str, body: &[u8]) -> CrashFingerprint {
    fingerprint_in_pieces(customer, pipeline, &[body])
}

/// Computes the fingerprint of a request whose body is held in pieces, which do not change it.
///
/// ```
/// let pieces = [b"fu", b"el"];
/// let one = retry::fingerprint_in_pieces("farm", "receipts", &pieces);
/// assert_eq!(one, retry::fingerprint("farm", "receipts", b"fuel"));
/// ```
pub fn fingerprint_in_pieces(
    customer: &str,
    pipeline: &str,
    body: &[impl AsRef<[u8]>],
) -> CrashFingerprint {
    let mut hasher = blake3::Hasher::new();
    let add_length = |hasher: &mut blake3::Hasher, length: usize| {
        hasher.update(&(length as u64).to_le_bytes());
    };
    for part in [customer.as_bytes(), pipeline.as_bytes()] {
        add_length(&mut hasher, part.len());
        hasher.update(part);
    }
    let body_length = body.iter().map(|piece| piece.as_ref().len()).sum();
    add_length(&mut hasher, body_length);
    for piece in body {
        hasher.update(piece.as_ref());
    }
    let mut fingerprint = CrashFingerprint::default();
    hasher.finalize_xof().fill(&mut fingerprint);
    fingerprint
}

/// Strikes of a request for one target and stage. Both counts only grow, so entries merge their
/// copies by taking the larger value of each.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetStrikes {
    /// Short hash of the target's name; see [`short_hash`].
    pub target: u64,
    /// Stage that the target ran when it died.
    pub stage: StageIndex,
    /// Number of times that the target died while it ran the request.
    pub strikes: u32,
    /// Number of strikes that were cleared because the request later completed this stage, which
    /// shows that another request caused the crash.
    pub cleared: u32,
}

/// A call of a request to a target, as it is passed to [`crate::CrashTracker`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrackedCall<'a> {
    /// Fingerprint of the request.
    pub fingerprint: CrashFingerprint,
    /// Stage that the call runs.
    pub stage: StageIndex,
    /// Name of the target that runs the stage.
    pub target: &'a str,
}

/// Strikes of a request as an entry reports them to its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Fingerprint of the request.
    pub fingerprint: CrashFingerprint,
    /// Strikes of the request by target and stage.
    pub victims: Vec<TargetStrikes>,
    /// Time left until the strikes expire.
    pub remaining: Duration,
}

/// Returns the first 8 bytes of the name's BLAKE3 hash as a little-endian number.
pub fn short_hash(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    let mut short = [0; 8];
    short.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(short)
}
