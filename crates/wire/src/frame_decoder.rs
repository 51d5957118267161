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
    /// Longest frame that is accepted, in bytes.
    limit: usize,
    failure: Option<DropReason>,
    frame: PhantomData<F>,
}

impl<F> FrameDecoder<F> {
    pub(crate) fn new(authenticator: MessageAuthenticator) -> Self {
        Self {
            authenticator,
            buffer: Vec::new(),
            limit: MAX_FRAME_BYTES,
            failure: None,
            frame: PhantomData,
        }
    }
}

impl<F: DeserializeOwned> FrameDecoder<F> {
    /// Sets the longest frame that is accepted from now on, in bytes, for instance while it is not known
    /// whether the sender has the key.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit.min(MAX_FRAME_BYTES);
    }

    /// Returns the number of bytes that wait for the rest of their frame.
    pub fn waiting_bytes(&self) -> usize {
        self.buffer.len()
    }

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
        if length > self.limit {
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
