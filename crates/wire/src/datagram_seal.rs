use {
    crate::{
        DropReason, WireError,
        seal_hash::{SEAL_BYTES, SealHash, decode, encode},
    },
    serde::{Serialize, de::DeserializeOwned},
};

/// Longest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Tells datagrams from frames under the same key.
const DATAGRAM_TAG: u8 = b'd';

/// Turns messages into datagrams that only holders of the key can make or change.
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
    hash: SealHash,
}

impl DatagramSeal {
    /// Seal with the key that all daemons of the fleet share.
    pub fn new(key: [u8; 32]) -> Self {
        Self {
            hash: SealHash::new(key, DATAGRAM_TAG),
        }
    }

    /// Bytes that the sealed message has, whatever the key.
    pub fn sealed_bytes(message: &impl Serialize) -> usize {
        SEAL_BYTES + encode(message).map_or(0, |content| content.len())
    }

    /// Makes the datagram.
    ///
    /// # Errors
    ///
    /// Fails if the message is too long for a datagram.
    pub fn seal(&self, message: &impl Serialize) -> Result<Vec<u8>, WireError> {
        let sealed = self.hash.close(&encode(message)?);
        if sealed.len() > MAX_DATAGRAM_BYTES {
            return Err(WireError::TooLong {
                bytes: sealed.len(),
                limit: MAX_DATAGRAM_BYTES,
            });
        }
        Ok(sealed)
    }

    /// Reads a datagram.
    ///
    /// # Errors
    ///
    /// Gives the reason for which the datagram must be dropped.
    pub fn open<M: DeserializeOwned>(&self, datagram: &[u8]) -> Result<M, DropReason> {
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(DropReason::TooLong);
        }
        decode(self.hash.check(datagram)?)
    }
}
