use {
    crate::{TicketBody, TicketError},
    base::{HostId, Incarnation},
    data_encoding::BASE64URL_NOPAD,
    rand::RngCore,
    std::time::Duration,
};

/// Context string from which the ticket key is derived; a change invalidates all tickets.
const KEY_CONTEXT: &str = "camphorramp 2026 single-use tickets";
/// Size of the truncated keyed hash in a ticket, in bytes.
const HASH_BYTES: usize = 16;
/// Longest text of a ticket that is read, in bytes.
const MAX_TEXT_BYTES: usize = 512;

/// Mints the tickets of one incarnation, and verifies tickets of any entry with the same key.
#[derive(Debug, Clone)]
pub struct TicketMint {
    host: HostId,
    incarnation: Incarnation,
    address: String,
    lifetime: Duration,
    key: [u8; 32],
}

impl TicketMint {
    /// Creates the mint of one incarnation; `fleet_key` is the secret that all entries share.
    ///
    /// ```
    /// use {once::TicketMint, std::time::Duration};
    ///
    /// let mint = TicketMint::new("h1", 7, "127.0.0.1:80", Duration::from_secs(60), &[1; 32]);
    /// let mut random = rand::rng();
    /// let text = mint.mint(Duration::ZERO, &mut random);
    /// let ticket = mint.read(&text).unwrap();
    /// assert!(mint.has_minted(&ticket));
    /// assert!(mint.read(&text[1..]).is_err());
    /// ```
    pub fn new(
        host: impl Into<HostId>,
        incarnation: Incarnation,
        address: impl Into<String>,
        lifetime: Duration,
        fleet_key: &[u8; 32],
    ) -> Self {
        Self {
            host: host.into(),
            incarnation,
            address: address.into(),
            lifetime,
            key: blake3::derive_key(KEY_CONTEXT, fleet_key),
        }
    }

    /// Mints a ticket; `uptime` is the time since the start of the incarnation.
    pub fn mint(&self, uptime: Duration, random: &mut impl RngCore) -> String {
        let body = TicketBody {
            host: self.host.clone(),
            incarnation: self.incarnation,
            address: self.address.clone(),
            expires: uptime + self.lifetime,
            nonce: random.next_u64(),
        };
        let mut bytes = postcard::to_stdvec(&body).unwrap_or_default();
        let hash = self.hash(&bytes);
        bytes.extend_from_slice(&hash);
        BASE64URL_NOPAD.encode(&bytes)
    }

    /// Verifies and decodes a ticket of any entry. Expiry is not checked.
    ///
    /// # Errors
    ///
    /// Fails if the text does not decode as a ticket or its keyed hash does not match.
    pub fn read(&self, text: &str) -> Result<TicketBody, TicketError> {
        if text.len() > MAX_TEXT_BYTES {
            return Err(TicketError::Malformed);
        }
        let bytes = BASE64URL_NOPAD
            .decode(text.as_bytes())
            .map_err(|_| TicketError::Malformed)?;
        let Some((body, hash)) = bytes.split_last_chunk::<HASH_BYTES>() else {
            return Err(TicketError::Malformed);
        };
        let expected = blake3::keyed_hash(&self.key, body);
        // Both hashes are compared as `blake3::Hash`, which takes constant time. The hash in the
        // ticket is truncated, so that the rest is filled up from the expected one.
        let mut padded = *expected.as_bytes();
        padded[..HASH_BYTES].copy_from_slice(hash);
        if expected != blake3::Hash::from_bytes(padded) {
            return Err(TicketError::Forged);
        }
        postcard::from_bytes(body).map_err(|_| TicketError::Malformed)
    }

    /// Returns true if this incarnation minted the ticket.
    pub fn has_minted(&self, ticket: &TicketBody) -> bool {
        ticket.host == self.host && ticket.incarnation == self.incarnation
    }

    fn hash(&self, bytes: &[u8]) -> [u8; HASH_BYTES] {
        let full_hash = blake3::keyed_hash(&self.key, bytes);
        let mut hash = [0; HASH_BYTES];
        hash.copy_from_slice(&full_hash.as_bytes()[..HASH_BYTES]);
        hash
    }
}
