use {
    crate::{
        FrameDecoder, OLDEST_SCHEMA, SchemaNumber, WireError,
        message_authenticator::{MessageAuthenticator, encode},
    },
    serde::Serialize,
};

/// Largest size of a frame without its length prefix, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
/// Hashed into each frame, so that a datagram sealed with the same key is not accepted as a
/// frame.
const FRAME_DOMAIN: u8 = b'f';

/// Encodes messages as frames for a byte stream: length, encoding version, keyed hash, content.
///
/// ```
/// use wire::{FrameSeal, PeerFrame};
///
/// let seal = FrameSeal::new([7; 32]);
/// let request = PeerFrame::SheetRequest { version: 3 };
/// let bytes = seal.encode(&request).unwrap();
///
/// let mut decoder = seal.decoder::<PeerFrame>();
/// decoder.push(&bytes[..5]);
/// assert_eq!(decoder.next_frame(), Ok(None));
/// decoder.push(&bytes[5..]);
/// assert_eq!(decoder.next_frame(), Ok(Some(request)));
/// ```
#[derive(Clone)]
pub struct FrameSeal {
    authenticator: MessageAuthenticator,
}

impl FrameSeal {
    /// Creates a seal with the key that all daemons of the fleet share.
    pub fn new(key: [u8; 32]) -> Self {
        Self {
            authenticator: MessageAuthenticator::new(key, FRAME_DOMAIN),
        }
    }

    /// Encodes and seals a message of the oldest schema as one frame.
    ///
    /// # Errors
    ///
    /// Fails if the sealed message exceeds [`MAX_FRAME_BYTES`] or cannot be encoded.
    pub fn encode(&self, message: &impl Serialize) -> Result<Vec<u8>, WireError> {
        self.encode_as(OLDEST_SCHEMA, message)
    }

    /// Encodes and seals a message as one frame; `schema` is the lowest one that has all its parts.
    ///
    /// # Errors
    ///
    /// Fails if the sealed message exceeds [`MAX_FRAME_BYTES`] or cannot be encoded.
    pub fn encode_as(
        &self,
        schema: SchemaNumber,
        message: &impl Serialize,
    ) -> Result<Vec<u8>, WireError> {
        let sealed = self.authenticator.sign(schema, &encode(message)?);
        let length = u32::try_from(sealed.len()).unwrap_or(u32::MAX);
        if sealed.len() > MAX_FRAME_BYTES {
            return Err(WireError::TooLong {
                bytes: sealed.len(),
                limit: MAX_FRAME_BYTES,
            });
        }
        let mut bytes = length.to_le_bytes().to_vec();
        bytes.extend(sealed);
        Ok(bytes)
    }

    /// Creates a decoder for one connection.
    pub fn decoder<F>(&self) -> FrameDecoder<F> {
        FrameDecoder::new(self.authenticator.clone())
    }
}
