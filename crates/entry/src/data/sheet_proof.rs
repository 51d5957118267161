use base::SheetVersion;

/// Purpose that the key of proofs is derived for.
const KEY_CONTEXT: &str = "camphorramp 2026 sheet version proofs";
/// Hexadecimal digits of a proof.
const PROOF_DIGITS: usize = 16;

/// Proves that an entry of the fleet had a version of the sheet in force, so that a made-up
/// version cannot make a starting entry wait for it.
pub struct SheetProof {
    key: [u8; 32],
}

/// What a request says of the sheet that its caller has seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeenSheet {
    pub version: SheetVersion,
    pub proved: bool,
}

impl SheetProof {
    pub fn new(fleet_key: &[u8; 32]) -> Self {
        Self {
            key: blake3::derive_key(KEY_CONTEXT, fleet_key),
        }
    }

    /// Version and proof as callers send them back.
    pub fn prove(&self, version: SheetVersion) -> String {
        format!("{version}.{}", self.digits(version))
    }

    /// Reads what a caller sent; a bare version is no proof.
    pub fn read(&self, text: &str) -> Option<SeenSheet> {
        let (version, proof) = text.split_once('.').unwrap_or((text, ""));
        let version = version.parse().ok()?;
        let proved = !proof.is_empty() && proof == self.digits(version);
        if !proof.is_empty() && !proved {
            return None;
        }
        Some(SeenSheet { version, proved })
    }

    fn digits(&self, version: SheetVersion) -> String {
        let hash = blake3::keyed_hash(&self.key, &version.to_le_bytes());
        hash.to_hex()[..PROOF_DIGITS].to_string()
    }
}
