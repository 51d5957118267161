use base::SheetVersion;

/// Context string of the key derivation.
const KEY_CONTEXT: &str = "camphorramp 2026 sheet version proofs";
/// Number of hexadecimal digits of a proof.
const PROOF_DIGITS: usize = 16;

/// Creates and checks proofs that a version of the sheet was in force at an entry of the fleet, so
/// that a made-up version can't make a starting entry wait for it.
pub struct SheetProof {
    key: [u8; 32],
}

/// Latest sheet version that a caller has seen, as stated in its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeenSheet {
    pub version: SheetVersion,
    /// True if the version came with a valid proof.
    pub is_proved: bool,
}

impl SheetProof {
    pub fn new(fleet_key: &[u8; 32]) -> Self {
        Self {
            key: blake3::derive_key(KEY_CONTEXT, fleet_key),
        }
    }

    /// Returns the version with its proof, in the form that callers send back.
    pub fn prove(&self, version: SheetVersion) -> String {
        format!("{version}.{}", self.proof_digits(version))
    }

    /// Parses and checks the value that a caller sent. A version without a proof is accepted as not
    /// proved; `None` for a wrong proof or an invalid version.
    pub fn verify(&self, text: &str) -> Option<SeenSheet> {
        let (version, proof) = text.split_once('.').unwrap_or((text, ""));
        let version = version.parse().ok()?;
        let is_proved = !proof.is_empty() && proof == self.proof_digits(version);
        if !proof.is_empty() && !is_proved {
            return None;
        }
        Some(SeenSheet { version, is_proved })
    }

    fn proof_digits(&self, version: SheetVersion) -> String {
        let hash = blake3::keyed_hash(&self.key, &version.to_le_bytes());
        hash.to_hex()[..PROOF_DIGITS].to_string()
    }
}
