use {
    base::SheetVersion,
    serde::{Deserialize, Serialize},
};

/// The index value: which parts make up one version of the sheet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SheetIndex {
    /// Version of the whole sheet; a later sheet has a larger one.
    pub version: SheetVersion,
    /// Parts in the order in which they are read.
    pub part: Vec<IndexPart>,
}

/// One part that the index names.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IndexPart {
    /// Key of the part at the configuration service.
    pub key: String,
    /// Digest of the part's text, hexadecimal (BLAKE3).
    pub digest: String,
}

impl SheetIndex {
    /// Digest of a part's text as the index states it.
    ///
    /// ```
    /// assert_eq!(sheet::SheetIndex::part_digest("").len(), 64);
    /// ```
    pub fn part_digest(text: &str) -> String {
        blake3::hash(text.as_bytes()).to_hex().to_string()
    }

    /// Digest of the whole sheet: equal digests mean equal content.
    pub fn digest(&self) -> String {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.version.to_le_bytes());
        for part in &self.part {
            hasher.update(part.key.as_bytes());
            hasher.update(&[0]);
            hasher.update(part.digest.as_bytes());
            hasher.update(&[0]);
        }
        hasher.finalize().to_hex().to_string()
    }
}
