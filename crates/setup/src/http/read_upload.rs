use {
    crate::http::RequestBody,
    bytes::{Bytes, BytesMut},
    futures_util::{FutureExt, StreamExt},
    room::{NoRoom, UploadLease, UploadRoom},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Why the body of a request was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UploadFault {
    /// It is too long, was cut, or came too slowly.
    Unusable,
    /// There is no room for it now.
    NoRoom,
}

impl From<NoRoom> for UploadFault {
    fn from(_: NoRoom) -> Self {
        Self::NoRoom
    }
}

/// Limits on the body of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UploadLimits {
    /// Longest body, in bytes.
    pub bytes: usize,
    /// Time within which the whole body has to arrive.
    pub timeout: Duration,
}

impl UploadLimits {
    /// What is read and dropped of the body of a request that is refused by its head, so that its
    /// connection stays usable: 64 KiB that come within a second.
    pub const DISCARD: Self = Self {
        bytes: 64 * 1024,
        timeout: Duration::from_secs(1),
    };
}

/// The whole body of a request, which takes room until the lease is dropped.
pub struct WholeUpload {
    /// Its bytes, in pieces none of which is empty.
    pub pieces: Vec<Bytes>,
    /// Its room; `None` if there are no bytes.
    pub lease: Option<UploadLease>,
}

impl WholeUpload {
    /// Returns the body in one piece, which takes its room until its last clone is dropped.
    pub fn into_bytes(mut self) -> Bytes {
        let bytes = match self.pieces.len() {
            0 | 1 => self.pieces.pop().unwrap_or_default(),
            _ => Bytes::from(std::mem::take(&mut self.pieces).concat()),
        };
        Bytes::from_owner(LeasedUpload {
            bytes,
            _lease: self.lease,
        })
    }
}

/// A body in one piece with its room.
struct LeasedUpload {
    bytes: Bytes,
    _lease: Option<UploadLease>,
}

impl AsRef<[u8]> for LeasedUpload {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads the whole body of a request into the room.
///
/// # Errors
///
/// The reply must then be passed through [`crate::close_unread`].
pub async fn read_upload(
    room: &Arc<UploadRoom>,
    body: &mut RequestBody,
    limits: UploadLimits,
) -> Result<WholeUpload, UploadFault> {
    if body.is_empty() {
        return Ok(WholeUpload {
            pieces: Vec::new(),
            lease: None,
        });
    }
    let length = body.stated_length();
    if length.is_some_and(|length| length > limits.bytes) {
        return Err(UploadFault::Unusable);
    }
    let lease = room.admit(length, Instant::now())?;
    let reading = collect_chunks(body, &lease, limits.bytes);
    let outcome = tokio::select! {
        biased;
        outcome = actix_rt::time::timeout(limits.timeout, reading) => outcome,
        () = lease.until_evicted() => return Err(UploadFault::NoRoom),
    };
    outcome.unwrap_or(Err(UploadFault::Unusable))?;
    let mut lease = lease.finish()?;
    Ok(WholeUpload {
        pieces: lease.take_pieces(),
        lease: Some(lease),
    })
}

/// Reads the rest of a body and drops it. Returns false if it is longer than the limits allow, is cut, or
/// comes too slowly; the reply must then be passed through [`crate::close_unread`].
pub async fn discard_body(body: &mut RequestBody, limits: UploadLimits) -> bool {
    if body.is_empty() {
        return true;
    }
    let length = body.stated_length();
    if length.is_some_and(|length| length > limits.bytes) {
        return false;
    }
    let dropping = drop_chunks(body, limits.bytes);
    let outcome = actix_rt::time::timeout(limits.timeout, dropping).await;
    outcome.unwrap_or(false)
}

async fn drop_chunks(body: &mut RequestBody, limit: usize) -> bool {
    let mut length = 0;
    loop {
        match body.next().await {
            None => return true,
            Some(Ok(chunk)) if length + chunk.len() <= limit => length += chunk.len(),
            Some(_) => return false,
        }
    }
}

async fn collect_chunks(
    body: &mut RequestBody,
    lease: &UploadLease,
    limit: usize,
) -> Result<(), UploadFault> {
    let mut length = 0;
    while let Some(bytes) = next_bytes(body).await? {
        length += bytes.len();
        if length > limit {
            return Err(UploadFault::Unusable);
        }
        lease.push(&bytes, Instant::now())?;
    }
    Ok(())
}

/// Waits for more of the body and returns what was handed over at once, `None` at its end. Chunks are
/// joined, so that short ones cost little more than long ones.
async fn next_bytes(body: &mut RequestBody) -> Result<Option<Bytes>, UploadFault> {
    let Some(first) = body.next().await else {
        return Ok(None);
    };
    let first = first.map_err(|_| UploadFault::Unusable)?;
    let Some(second) = body.next().now_or_never().flatten() else {
        return Ok(Some(first));
    };
    let mut joined = BytesMut::from(first);
    let mut next = Some(second);
    while let Some(chunk) = next {
        joined.extend_from_slice(&chunk.map_err(|_| UploadFault::Unusable)?);
        next = body.next().now_or_never().flatten();
    }
    Ok(Some(joined.freeze()))
}
