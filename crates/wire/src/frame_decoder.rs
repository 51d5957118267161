use {
    crate::{
        DropReason, MAX_FRAME_BYTES,
        message_authenticator::{MessageAuthenticator, decode},
    },
    serde::de::DeserializeOwned,
    std::marker::PhantomData,
};

/// Size of the length prefix of each frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// Incremental decoder for the frames of one connection, in the format of
/// [`FrameSeal`](crate::FrameSeal).
pub struct FrameDecoder<F> {
    authenticator: MessageAuthenticator,
    buffer: Vec<u8>,
    failure: Option<DropReason>,
    frame: PhantomData<F>,
}

impl<F> FrameDecoder<F> {
    pub(crate) fn new(authenticator: MessageAuthenticator) -> Self {
        Self {
            authenticator,
            buffer: Vec::new(),
            failure: None,
            frame: PhantomData,
        }
    }
}

impl<F: DeserializeOwned> FrameDecoder<F> {
    /// Appends received bytes; after a failure they are ignored.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.failure.is_none() {
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// Returns the next complete frame, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns why the connection must be closed. Every later call returns the same reason.
    pub fn next_frame(&mut self) -> Result<Option<F>, DropReason> {
        if let Some(reason) = self.failure {
            return Err(reason);
        }
        let outcome = self.decode_frame();
        if let Err(reason) = outcome {
            self.failure = Some(reason);
            self.buffer = Vec::new();
        }
        outcome
    }

    /// Checks that the connection did not end within a frame.
    ///
    /// # Errors
    ///
    /// Returns the reason of an earlier failure, or `Truncated` if an incomplete frame is left.
    pub fn finish(&self) -> Result<(), DropReason> {
        match self.failure {
            Some(reason) => Err(reason),
            None if self.buffer.is_empty() => Ok(()),
            None => Err(DropReason::Truncated),
        }
    }

    fn decode_frame(&mut self) -> Result<Option<F>, DropReason> {
        let Some((prefix, rest)) = self.buffer.split_first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = usize::try_from(u32::from_le_bytes(*prefix)).unwrap_or(usize::MAX);
        if length > MAX_FRAME_BYTES {
            return Err(DropReason::TooLong);
        }
        let Some(sealed) = rest.get(..length) else {
            return Ok(None);
        };
        let frame = decode(self.authenticator.verify(sealed)?)?;
        self.buffer.drain(..LENGTH_BYTES + length);
        Ok(Some(frame))
    }
}
