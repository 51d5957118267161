use {
    crate::http::OpenConnection,
    actix_http::{HttpMessage, Payload, Request, error::PayloadError, header::CONTENT_LENGTH},
    bytes::Bytes,
    futures_util::Stream,
    std::{
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
    },
};

/// The body of a request, which is read from the connection only as fast as it is taken here.
pub struct RequestBody {
    payload: Payload,
    stated_length: Option<usize>,
    /// `None` if [`crate::serve_http`] did not accept the connection.
    connection: Option<Rc<OpenConnection>>,
}

impl RequestBody {
    /// Takes the body out of a request.
    pub fn take(request: &mut Request) -> Self {
        let length = request.headers().get(CONTENT_LENGTH);
        let length = length.and_then(|length| length.to_str().ok());
        Self {
            stated_length: length.and_then(|length| length.trim().parse().ok()),
            connection: OpenConnection::of(request),
            payload: request.take_payload(),
        }
    }

    /// Returns the length in bytes that the head of the request states; `None` if it states none.
    pub fn stated_length(&self) -> Option<usize> {
        self.stated_length
    }

    /// Returns true if there is no body.
    pub fn is_empty(&self) -> bool {
        matches!(self.payload, Payload::None) || self.stated_length == Some(0)
    }

    /// Has nothing more of the body read.
    pub(super) fn refuse_rest(&self) {
        if let Some(connection) = &self.connection {
            connection.refuse_body();
        }
    }
}

impl Stream for RequestBody {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let next = Pin::new(&mut self.payload).poll_next(context);
        if next.is_pending()
            && let Some(connection) = &self.connection
        {
            connection.want_body();
        }
        next
    }
}
