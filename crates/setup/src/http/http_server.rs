use {
    crate::http::{
        OpenConnection, RequestBody,
        body_framing::BodyFraming,
        client_stream::ClientStream,
        connection_cost::{RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES, waiting_count},
        follow_reply,
        stream_acceptor::StreamAcceptor,
    },
    actix_http::{
        ConnectionType, Extensions, HttpService, Request, Response, StatusCode,
        body::{BodySize, BoxBody, MessageBody},
        header::{CONTENT_TYPE, HeaderValue},
    },
    actix_service::ServiceFactory,
    bytes::{Bytes, BytesMut},
    futures_util::{FutureExt, StreamExt},
    room::ClientRoom,
    serde::Serialize,
    socket2::SockRef,
    std::{
        cell::Cell,
        convert::Infallible,
        future::Future,
        panic::AssertUnwindSafe,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, sync::watch},
};

/// Time between two checks for open connections during the shutdown.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Body of an HTTP reply.
pub type HttpBody = BoxBody;
/// HTTP reply of a handler.
pub type HttpReply = Response<BoxBody>;

/// Limits of an HTTP server, which protect it from slow or too many clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpLimits {
    /// Time within which the whole head of a request has to arrive.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Time after which a client that takes nothing of its reply is disconnected.
    pub write_timeout: Duration,
    /// Number of connections that may be open at once. For a further one another one is closed that
    /// gives way (see [`ClientRoom`]); if there is none, it waits for a while and is closed then.
    pub max_connections: usize,
    /// Longest time that the shutdown waits for open connections.
    pub close_timeout: Duration,
    /// True if a client that has closed its sending side still gets its answer. If false, such a
    /// client counts as disconnected and its request is cancelled at once.
    pub allows_half_closed: bool,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
            write_timeout: Duration::from_secs(20),
            max_connections: 4_096,
            close_timeout: Duration::from_secs(2),
            allows_half_closed: true,
        }
    }
}

/// Serves HTTP/1.1 on the listener; every request runs on this thread. Once `closing` is true, it
/// accepts no more connections than wait then, and returns when the open ones have ended after their
/// current answers, or after `close_timeout`. A request that has arrived by then is still answered.
/// All that clients make the server hold, but for the bodies that handlers keep, takes the room. A
/// handler reads a body through [`RequestBody`]: nothing of it is read before it is asked for.
pub async fn serve_http<Handler, Answer>(
    listener: TcpListener,
    limits: HttpLimits,
    room: Rc<ClientRoom>,
    closing: watch::Receiver<bool>,
    handler: Handler,
) where
    Handler: Fn(Request) -> Answer + Clone + 'static,
    Answer: Future<Output = HttpReply> + 'static,
{
    let handler = {
        let closing = closing.clone();
        move |request| answer_request(&handler, closing.clone(), request)
    };
    let factory = HttpService::build()
        .client_request_timeout(limits.head_timeout)
        .keep_alive(limits.idle_timeout)
        .h1_allow_half_closed(limits.allows_half_closed)
        .on_connect_ext(|stream: &ClientStream, extensions: &mut Extensions| {
            extensions.insert(Rc::clone(stream.connection()));
        })
        .h1(handler);
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    bound_kernel(&listener, &room);
    let open_count = Rc::new(Cell::new(0));
    let acceptor = StreamAcceptor::new(
        listener,
        limits,
        room,
        closing.clone(),
        Rc::clone(&open_count),
        service,
    );
    tokio::select! {
        () = acceptor.accept_streams() => {}
        () = wait_closing(closing) => {}
    }
    acceptor.accept_waiting();
    drop(acceptor);
    let deadline = Instant::now() + limits.close_timeout;
    while open_count.get() > 0 && Instant::now() < deadline {
        actix_rt::time::sleep(CLOSE_POLL_INTERVAL).await;
    }
}

/// Bounds what the kernel keeps for connections to the listener; without it, it keeps more than is counted.
fn bound_kernel(listener: &TcpListener, room: &ClientRoom) {
    let socket = SockRef::from(listener);
    // Connections take the sizes over.
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(SEND_BUFFER_BYTES);
    let count = waiting_count(room.limit());
    let _ = socket.listen(i32::try_from(count).unwrap_or(i32::MAX));
}

/// Passes a request to the handler. The reply is followed until it was written, and closes its
/// connection once the server closes.
fn answer_request<Handler, Answer>(
    handler: &Handler,
    closing: watch::Receiver<bool>,
    request: Request,
) -> impl Future<Output = Result<HttpReply, Infallible>> + use<Handler, Answer>
where
    Handler: Fn(Request) -> Answer,
    Answer: Future<Output = HttpReply>,
{
    let connection = OpenConnection::of(&request);
    let open_reply = connection
        .as_ref()
        .map(|connection| connection.begin_request(BodyFraming::of(&request)));
    // A connection holds the future of its request, also while it has none.
    let answer = Box::pin(handler(request));
    async move {
        let answer = AssertUnwindSafe(answer).catch_unwind();
        let mut reply = answer.await.unwrap_or_else(|_| panic_reply());
        let is_streamed = reply.body().size() == BodySize::Stream;
        let may_stay = connection
            .as_ref()
            .is_none_or(|connection| connection.record_answered(is_streamed));
        if *closing.borrow() || !may_stay {
            reply.head_mut().set_connection_type(ConnectionType::Close);
        }
        Ok(match (connection, open_reply) {
            (Some(connection), Some(open_reply)) => follow_reply(reply, &connection, open_reply),
            _ => reply,
        })
    }
}

/// Returns the reply to a request whose handler has panicked; its body may not have been read.
fn panic_reply() -> HttpReply {
    let mut reply = text_reply(StatusCode::INTERNAL_SERVER_ERROR, "internal fault\n");
    reply.head_mut().set_connection_type(ConnectionType::Close);
    reply
}

/// Returns once the value is true, or never if the sender was dropped before.
pub(super) async fn wait_closing(mut closing: watch::Receiver<bool>) {
    if closing.wait_for(|closing| *closing).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Reads a whole body. Returns `None` if it has more than `limit` bytes, is cut off, or is not
/// complete after `timeout`; the reply must then be passed through [`close_unread`].
pub async fn read_body(body: &mut RequestBody, limit: usize, timeout: Duration) -> Option<Bytes> {
    actix_rt::time::timeout(timeout, collect_body(body, limit))
        .await
        .ok()
        .flatten()
}

/// Returns the reply to a request whose body was not read to its end, so that the connection is
/// closed after it. The server would otherwise read the rest for as long as the client sends it.
pub fn close_unread(mut reply: HttpReply, request_body: RequestBody) -> HttpReply {
    request_body.refuse_rest();
    reply.head_mut().set_connection_type(ConnectionType::Close);
    reply.map_body(|_, body| {
        let body = UnreadBody {
            body,
            _request_body: request_body,
        };
        body.boxed()
    })
}

/// Body of a reply that keeps the body of its request unread. The server drains the body of a
/// request only once it was dropped.
struct UnreadBody {
    body: BoxBody,
    _request_body: RequestBody,
}

impl MessageBody for UnreadBody {
    type Error = Box<dyn std::error::Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(context)
    }
}

async fn collect_body(chunks: &mut RequestBody, limit: usize) -> Option<Bytes> {
    let mut body = BytesMut::new();
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.ok()?;
        if body.len() + chunk.len() > limit {
            return None;
        }
        body.extend_from_slice(&chunk);
    }
    Some(body.freeze())
}

/// Returns a reply with a JSON body, which is empty if the value can't be serialised.
pub fn json_reply(status: StatusCode, value: &impl Serialize) -> HttpReply {
    let body = serde_json::to_vec(value).unwrap_or_default();
    typed_reply(status, "application/json", body)
}

/// Returns a reply with a plain text body.
pub fn text_reply(status: StatusCode, text: impl Into<String>) -> HttpReply {
    typed_reply(
        status,
        "text/plain; charset=utf-8",
        text.into().into_bytes(),
    )
}

fn typed_reply(status: StatusCode, content_type: &'static str, body: Vec<u8>) -> HttpReply {
    let mut reply = Response::with_body(status, body.boxed());
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    reply
}
