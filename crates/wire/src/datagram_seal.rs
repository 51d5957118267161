use {
    crate::{
        DropReason, OLDEST_SCHEMA, WireError,
        message_authenticator::{HEADER_BYTES, MessageAuthenticator, decode, encode},
    },
    serde::{Serialize, de::DeserializeOwned},
};

/// Largest size of a sealed datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Hashed into each datagram, so that a frame sealed with the same key is not accepted as a
/// datagram.
const DATAGRAM_DOMAIN: u8 = b'd';

/// Encodes messages as datagrams with a keyed hash, so that only holders of the key can create or
/// change them. The content is not encrypted.
///
/// ```
/// use wire::{DatagramSeal, DropReason, PeerIdentity, PeerMessage};
///
/// let seal = DatagramSeal::new([7; 32]);
/// let sender = PeerIdentity { host: String::from("h1"), incarnation: 1 };
/// let probe = PeerMessage::Probe { sender, nonce: 5 };
/// let bytes = seal.seal(&probe).unwrap();
/// assert_eq!(seal.open(&bytes), Ok(probe));
/// let other = DatagramSeal::new([8; 32]);
/// assert_eq!(other.open::<PeerMessage>(&bytes), Err(DropReason::WrongHash));
/// ```
#[derive(Clone)]
pub struct DatagramSeal {
    authenticator: MessageAuthenticator,
}

impl DatagramSeal {
    /// Creates a seal with the key that all daemons of the fleet share.
    pub fn new(key: [u8; 32]) -> Self {
        Self {
            authenticator: MessageAuthenticator::new(key, DATAGRAM_DOMAIN),
        }
    }

    /// Returns the size of the sealed message in bytes; it does not depend on the key.
    pub fn sealed_bytes(message: &impl Serialize) -> usize {
        HEADER_BYTES + encode(message).map_or(0, |content| content.len())
    }

    /// Encodes and seals a message of the oldest schema as one datagram.
    ///
    /// # Errors
    ///
    /// Fails if the sealed message exceeds [`MAX_DATAGRAM_BYTES`] or cannot be encoded.
    pub fn seal(&self, message: &impl Serialize) -> Result<Vec<u8>, WireError> {
        let sealed = self.authenticator.sign(OLDEST_SCHEMA, &encode(message)?);
        if sealed.len() > MAX_DATAGRAM_BYTES {
            return Err(WireError::TooLong {
                bytes: sealed.len(),
                limit: MAX_DATAGRAM_BYTES,
            });
        }
        Ok(sealed)
    }

    /// Verifies and decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns why the datagram must be dropped.
    pub fn open<M: DeserializeOwned>(&self, datagram: &[u8]) -> Result<M, DropReason> {
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(DropReason::TooLong);
        }
        decode(self.authenticator.verify(datagram)?)
    }
}
