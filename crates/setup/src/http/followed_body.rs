use {
    crate::http::{HttpReply, OpenConnection, ReplyFollower},
    actix_http::body::{BodySize, BoxBody, MessageBody},
    bytes::Bytes,
    std::{
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
    },
};

/// Returns the reply, with a follower that is told once the last byte of the reply has been passed to
/// the socket of the connection.
pub fn follow_reply(
    reply: HttpReply,
    connection: &Rc<OpenConnection>,
    follower: impl ReplyFollower,
) -> HttpReply {
    reply.map_body(|_, body| {
        let body = FollowedBody {
            body,
            connection: Rc::clone(connection),
            follower: Some(Box::new(follower)),
        };
        body.boxed()
    })
}

/// Body of a reply with a follower.
struct FollowedBody {
    body: BoxBody,
    connection: Rc<OpenConnection>,
    /// `None` once the whole body was taken.
    follower: Option<Box<dyn ReplyFollower>>,
}

impl FollowedBody {
    /// Records that the whole body was taken: it goes out with the next flush.
    fn end(&mut self) {
        if let Some(follower) = self.follower.take() {
            self.connection.end_reply(follower);
        }
    }

    fn is_empty(&self) -> bool {
        matches!(self.body.size(), BodySize::None | BodySize::Sized(0))
    }
}

impl MessageBody for FollowedBody {
    type Error = Box<dyn std::error::Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let next = Pin::new(&mut self.body).poll_next(context);
        if matches!(next, Poll::Ready(None)) {
            self.end();
        }
        next
    }
}

impl Drop for FollowedBody {
    fn drop(&mut self) {
        // The server takes nothing from an empty body.
        if self.is_empty() {
            self.end();
        }
    }
}
