use crate::{
    DropReason, OLDEST_SCHEMA, SchemaNumber, WireError, schema_number::NEWEST_MESSAGE_SCHEMA,
};

/// Size of the truncated keyed hash, in bytes.
const HASH_BYTES: usize = 16;
/// Size of the header before the content, that is, of schema number and hash, in bytes.
pub(crate) const HEADER_BYTES: usize = 1 + HASH_BYTES;

/// Authenticates messages with a keyed hash over domain, schema number and content. The domain
/// keeps datagrams and frames apart.
#[derive(Clone)]
pub(crate) struct MessageAuthenticator {
    key: [u8; 32],
    domain: u8,
}

impl MessageAuthenticator {
    pub(crate) fn new(key: [u8; 32], domain: u8) -> Self {
        Self { key, domain }
    }

    /// Seals a message: prepends schema number and keyed hash to its content.
    pub(crate) fn sign(&self, schema: SchemaNumber, content: &[u8]) -> Vec<u8> {
        let mut sealed = Vec::with_capacity(HEADER_BYTES + content.len());
        sealed.push(schema);
        sealed.extend_from_slice(&self.hash(schema, content));
        sealed.extend_from_slice(content);
        sealed
    }

    /// Verifies schema number and hash of a sealed message and returns its content.
    pub(crate) fn verify<'a>(&self, sealed: &'a [u8]) -> Result<&'a [u8], DropReason> {
        let schema = *sealed.first().ok_or(DropReason::Truncated)?;
        if !(OLDEST_SCHEMA..=NEWEST_MESSAGE_SCHEMA).contains(&schema) {
            return Err(DropReason::OtherVersion);
        }
        if sealed.len() <= HEADER_BYTES {
            return Err(DropReason::Truncated);
        }
        let (header, content) = sealed.split_at(HEADER_BYTES);
        let expected = blake3::Hash::from_bytes(zero_padded(&self.hash(schema, content)));
        // Comparing as blake3::Hash takes constant time.
        if expected == blake3::Hash::from_bytes(zero_padded(&header[1..])) {
            Ok(content)
        } else {
            Err(DropReason::WrongHash)
        }
    }

    fn hash(&self, schema: SchemaNumber, content: &[u8]) -> [u8; HASH_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&[self.domain, schema]);
        hasher.update(content);
        let mut hash = [0; HASH_BYTES];
        hash.copy_from_slice(&hasher.finalize().as_bytes()[..HASH_BYTES]);
        hash
    }
}

/// Encodes a message with postcard.
pub(crate) fn encode(message: &impl serde::Serialize) -> Result<Vec<u8>, WireError> {
    postcard::to_allocvec(message).map_err(|error| WireError::Codec {
        message: error.to_string(),
    })
}

/// Decodes a message; left-over bytes make it malformed.
pub(crate) fn decode<T: serde::de::DeserializeOwned>(content: &[u8]) -> Result<T, DropReason> {
    match postcard::take_from_bytes(content) {
        Ok((message, [])) => Ok(message),
        _ => Err(DropReason::Malformed),
    }
}

fn zero_padded(bytes: &[u8]) -> [u8; 32] {
    let mut padded = [0; 32];
    padded[..bytes.len()].copy_from_slice(bytes);
    padded
}
