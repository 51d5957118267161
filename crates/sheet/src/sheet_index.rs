use {
    crate::SheetError,
    base::SheetVersion,
    serde::{Deserialize, Serialize},
    std::collections::{HashMap, HashSet},
};

/// Longest text of a part, in bytes: the configuration service holds no longer value.
const PART_LIMIT_BYTES: usize = 1 << 20;

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
    ///
    /// ```
    /// use sheet::SheetIndex;
    ///
    /// let first = SheetIndex { version: 1, part: Vec::new() };
    /// let second = SheetIndex { version: 2, part: Vec::new() };
    /// assert_ne!(first.digest(), second.digest());
    /// ```
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

    /// Checks the index and that the texts are those that it names; `false` if a text is missing
    /// or another one.
    pub(crate) fn check(&self, texts: &[String], errors: &mut Vec<SheetError>) -> bool {
        let before = errors.len();
        if self.part.len() != texts.len() {
            let message = format!("names {} parts, got {}", self.part.len(), texts.len());
            errors.push(index_error("part", message));
        }
        for (part, text) in self.part.iter().zip(texts) {
            let digest = Self::part_digest(text);
            if digest != part.digest {
                let message = format!("part `{}` has the digest {digest}", part.key);
                errors.push(index_error("part.digest", message));
            }
        }
        let whole = errors.len() == before;
        self.check_keys(errors);
        for (part, text) in self.part.iter().zip(texts) {
            if text.len() > PART_LIMIT_BYTES {
                let length = text.len();
                let message = format!("{length} bytes; write at most {PART_LIMIT_BYTES}");
                errors.push(SheetError::new(&part.key, 0, "", message));
            }
        }
        whole
    }

    /// Faults by part in the index's order, then by line; those of the index come first.
    pub(crate) fn in_order(&self, mut errors: Vec<SheetError>) -> Vec<SheetError> {
        let keys = self.part.iter().map(|part| part.key.as_str());
        let places: HashMap<&str, usize> = keys.zip(1..).collect();
        errors.sort_by_key(|error| {
            let place = places.get(error.part.as_str()).copied();
            (place.unwrap_or_default(), error.line)
        });
        errors
    }

    fn check_keys(&self, errors: &mut Vec<SheetError>) {
        if self.version == 0 {
            errors.push(index_error("version", "is zero; write a number above zero"));
        }
        let mut keys = HashSet::new();
        for part in &self.part {
            if !keys.insert(part.key.as_str()) {
                let message = format!("`{}` is named twice; name each part once", part.key);
                errors.push(index_error("part.key", message));
            }
        }
    }
}

fn index_error(key: &str, message: impl Into<String>) -> SheetError {
    SheetError::new("index", 0, key, message)
}
