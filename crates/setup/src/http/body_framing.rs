use {
    crate::http::chunk_scanner::ChunkScanner,
    actix_http::{
        HttpMessage, Request,
        header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING},
    },
};

/// Chunks that are handed over at once: the HTTP library keeps an entry for each, however short it is.
const MAX_CHUNKS_AT_ONCE: usize = 64;

/// Where the body of a request ends on its connection.
#[derive(Debug, Default)]
pub(super) enum BodyFraming {
    /// All of it was handed over, or there is none.
    #[default]
    Whole,
    /// This many bytes are still to come.
    Sized(u64),
    /// It comes in chunks.
    Chunked(ChunkScanner),
}

impl BodyFraming {
    /// Reads the framing from the head of a request.
    pub fn of(request: &Request) -> Self {
        let text = |value: &HeaderValue| value.to_str().map(str::to_ascii_lowercase).ok();
        let headers = request.headers();
        let encoding = headers.get(TRANSFER_ENCODING).and_then(text);
        if encoding.is_some_and(|encoding| encoding.contains("chunked")) {
            return Self::Chunked(ChunkScanner::default());
        }
        let length = headers.get(CONTENT_LENGTH).and_then(text);
        match length.and_then(|length| length.trim().parse().ok()) {
            None | Some(0) => Self::Whole,
            Some(length) => Self::Sized(length),
        }
    }

    /// Returns true if nothing of the body is still to come.
    pub fn is_whole(&self) -> bool {
        matches!(self, Self::Whole)
    }

    /// Returns true if the body is known to go on for this many bytes.
    pub fn has_left(&self, count: usize) -> bool {
        matches!(self, Self::Sized(rest) if *rest >= count as u64)
    }

    /// Returns how many of these bytes belong to the body and can be handed over at once; they count as
    /// handed over.
    pub fn take(&mut self, bytes: &[u8]) -> usize {
        match self {
            Self::Whole => 0,
            Self::Sized(rest) => {
                let rest_here = usize::try_from(*rest).unwrap_or(usize::MAX);
                let count = bytes.len().min(rest_here);
                *rest -= count as u64;
                if *rest == 0 {
                    *self = Self::Whole;
                }
                count
            }
            Self::Chunked(scanner) => {
                let count = scanner.scan(bytes, MAX_CHUNKS_AT_ONCE);
                if scanner.has_ended() {
                    *self = Self::Whole;
                }
                count
            }
        }
    }
}
