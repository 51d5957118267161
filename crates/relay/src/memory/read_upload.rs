use {
    crate::memory::{
        CallBody, NoRoom, UploadLease, UploadRoom, arriving_upload::UPLOAD_TIMEOUT,
        upload_buffer::UploadBuffer,
    },
    actix_http::Payload,
    bytes::Bytes,
    futures_util::StreamExt,
    std::{sync::Arc, time::Instant},
};

/// Maximum length of a request's body: 4 MiB and a margin of 64 KiB.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024 + 64 * 1024;

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

/// Reads the whole body of a request, which takes room until its last clone is dropped. `length` is
/// its stated length; `None` if it states none.
///
/// # Errors
///
/// The reply must then be passed through [`setup::close_unread`].
pub async fn read_upload(
    room: &Arc<UploadRoom>,
    payload: &mut Payload,
    length: Option<usize>,
) -> Result<CallBody, UploadFault> {
    if matches!(payload, Payload::None) || length == Some(0) {
        return Ok(CallBody::default());
    }
    if length.is_some_and(|length| length > MAX_BODY_BYTES) {
        return Err(UploadFault::Unusable);
    }
    let lease = room.admit(length, Instant::now())?;
    let reading = collect_chunks(payload, &lease);
    let outcome = tokio::select! {
        biased;
        outcome = actix_rt::time::timeout(UPLOAD_TIMEOUT, reading) => outcome,
        () = lease.until_evicted() => return Err(UploadFault::NoRoom),
    };
    let pieces = outcome.unwrap_or(Err(UploadFault::Unusable))?;
    let lease = lease.finish()?;
    Ok(CallBody::leased(pieces, lease))
}

async fn collect_chunks(
    payload: &mut Payload,
    lease: &UploadLease,
) -> Result<Vec<Bytes>, UploadFault> {
    let mut body = UploadBuffer::default();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| UploadFault::Unusable)?;
        if body.len() + chunk.len() > MAX_BODY_BYTES {
            return Err(UploadFault::Unusable);
        }
        lease.receive(chunk.len(), Instant::now())?;
        body.push(&chunk);
    }
    Ok(body.into_pieces())
}
