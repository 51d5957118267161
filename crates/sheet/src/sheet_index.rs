use {
    crate::SheetError,
    base::SheetVersion,
    serde::{Deserialize, Serialize},
    std::collections::{HashMap, HashSet},
};

/// Longest text of a part, in bytes; the configuration service stores no longer values.
const MAX_PART_BYTES: usize = 1 << 20;

/// The index: names the parts that make up one version of the sheet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SheetIndex {
    /// Version of the whole sheet; a later sheet has a larger one.
    pub version: SheetVersion,
    /// Parts in the order in which they are read.
    pub part: Vec<IndexPart>,
}

/// Entry of one part in the index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IndexPart {
    /// Key of the part at the configuration service.
    pub key: String,
    /// Digest of the part's text, hexadecimal (BLAKE3).
    pub digest: String,
}

impl SheetIndex {
    /// Computes the digest of a part's text in the form that the index uses.
    ///
    /// ```
    /// assert_eq!(sheet::SheetIndex::part_digest("").len(), 64);
    /// ```
    pub fn part_digest(text: &str) -> String {
        blake3::hash(text.as_bytes()).to_hex().to_string()
    }

    /// Computes the digest of the whole sheet; sheets with equal digests have equal content.
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

    /// Checks the index and whether the texts are those that it names. Returns false if a text is
    /// missing or does not match its digest.
    pub(crate) fn check_texts(&self, texts: &[String], errors: &mut Vec<SheetError>) -> bool {
        let errors_before = errors.len();
        if self.part.len() != texts.len() {
            let message = format!(
                "index names {} parts, got {} texts",
                self.part.len(),
                texts.len()
            );
            errors.push(index_error("part", message));
        }
        for (part, text) in self.part.iter().zip(texts) {
            let digest = Self::part_digest(text);
            if digest != part.digest {
                let message = format!("text of part `{}` has another digest: {digest}", part.key);
                errors.push(index_error("part.digest", message));
            }
        }
        let texts_match = errors.len() == errors_before;
        self.check_keys(errors);
        for (part, text) in self.part.iter().zip(texts) {
            if text.len() > MAX_PART_BYTES {
                let length = text.len();
                let message = format!("{length} bytes; write at most {MAX_PART_BYTES}");
                errors.push(SheetError::new(&part.key, 0, "", message));
            }
        }
        texts_match
    }

    /// Sorts errors by part in the index's order, then by line; errors of the index come first.
    pub(crate) fn sort_errors(&self, mut errors: Vec<SheetError>) -> Vec<SheetError> {
        let keys = self.part.iter().map(|part| part.key.as_str());
        let positions: HashMap<&str, usize> = keys.zip(1..).collect();
        errors.sort_by_key(|error| {
            let position = positions.get(error.part.as_str()).copied();
            (position.unwrap_or_default(), error.line)
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
