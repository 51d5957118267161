use {
    actix_http::{
        HttpService, Payload, Request, Response, StatusCode,
        body::{BoxBody, MessageBody},
        header::{CONTENT_TYPE, HeaderValue},
    },
    actix_rt::net::TcpStream,
    actix_service::{Service, ServiceFactory},
    bytes::{Bytes, BytesMut},
    futures_util::StreamExt,
    serde::Serialize,
    std::{
        cell::Cell,
        convert::Infallible,
        future::Future,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, sync::watch},
};

/// Pause after the kernel refused a connection, for instance for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Pause between two looks at the open connections at the end.
const CLOSE_PAUSE: Duration = Duration::from_millis(5);

/// Body of a reply.
pub type HttpBody = BoxBody;
/// Reply of a handler.
pub type HttpReply = Response<BoxBody>;

/// Bounds on what a client may do to a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpLimits {
    /// Time in which the whole head of a request must arrive.
    pub head_timeout: Duration,
    /// Time for which an idle connection is kept.
    pub idle_timeout: Duration,
    /// Connections that may be open at once.
    pub max_connections: usize,
    /// Longest time that open connections are waited for at the end.
    pub close_timeout: Duration,
    /// True if a client that has closed its sending side still gets its answer; false if it
    /// counts as gone, so that its request ends at once.
    pub allows_half_closed: bool,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
            max_connections: 4_096,
            close_timeout: Duration::from_secs(2),
            allows_half_closed: true,
        }
    }
}

/// One open connection; frees its place when dropped.
struct ConnectionPlace {
    open: Rc<Cell<usize>>,
}

impl ConnectionPlace {
    fn take(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self {
            open: Rc::clone(open),
        }
    }
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}

/// Serves HTTP/1.1 on the listener; every request runs on this thread. Once `closing` is true,
/// no connection is accepted any more, and it returns when the open ones have ended after the
/// answers that they carry, or after the limit for it.
pub async fn serve_http<Handler, Answer>(
    listener: TcpListener,
    limits: HttpLimits,
    closing: watch::Receiver<bool>,
    handler: Handler,
) where
    Handler: Fn(Request) -> Answer + Clone + 'static,
    Answer: Future<Output = HttpReply> + 'static,
{
    let open = Rc::new(Cell::new(0));
    let handler = move |request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    };
    let factory = HttpService::build()
        .client_request_timeout(limits.head_timeout)
        .keep_alive(limits.idle_timeout)
        .h1_allow_half_closed(limits.allows_half_closed)
        .graceful_shutdown_signal({
            let closing = closing.clone();
            move || wait_closing(closing.clone())
        })
        .h1(handler)
        .tcp();
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    let service = Rc::new(service);
    let accepting = accept_streams(&listener, &limits, &open, service);
    tokio::select! {
        () = accepting => {}
        () = wait_closing(closing) => {}
    }
    drop(listener);
    let limit = Instant::now() + limits.close_timeout;
    while open.get() > 0 && Instant::now() < limit {
        actix_rt::time::sleep(CLOSE_PAUSE).await;
    }
}

async fn accept_streams<S: Service<TcpStream> + 'static>(
    listener: &TcpListener,
    limits: &HttpLimits,
    open: &Rc<Cell<usize>>,
    service: Rc<S>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            actix_rt::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if open.get() >= limits.max_connections {
            drop(stream);
            continue;
        }
        let place = ConnectionPlace::take(open);
        actix_rt::spawn(serve_stream(Rc::clone(&service), stream, place));
    }
}

/// Returns once the value is true, or never if it can no longer become so.
async fn wait_closing(mut closing: watch::Receiver<bool>) {
    if closing.wait_for(|closing| *closing).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn serve_stream<S: Service<TcpStream>>(
    service: Rc<S>,
    stream: TcpStream,
    _place: ConnectionPlace,
) {
    let _ = stream.set_nodelay(true);
    let _ = service.call(stream).await;
}

/// Reads a body to its end; `None` if it is longer than the limit, cut, or late.
pub async fn read_body(payload: Payload, limit: usize, time: Duration) -> Option<Bytes> {
    actix_rt::time::timeout(time, collect_body(payload, limit))
        .await
        .ok()
        .flatten()
}

async fn collect_body(mut payload: Payload, limit: usize) -> Option<Bytes> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.ok()?;
        if body.len() + chunk.len() > limit {
            return None;
        }
        body.extend_from_slice(&chunk);
    }
    Some(body.freeze())
}

/// Reply with a JSON body.
pub fn json_reply(status: StatusCode, value: &impl Serialize) -> HttpReply {
    let body = serde_json::to_vec(value).unwrap_or_default();
    typed_reply(status, "application/json", body)
}

/// Reply with a plain text body.
pub fn text_reply(status: StatusCode, text: impl Into<String>) -> HttpReply {
    typed_reply(
        status,
        "text/plain; charset=utf-8",
        text.into().into_bytes(),
    )
}

fn typed_reply(status: StatusCode, kind: &'static str, body: Vec<u8>) -> HttpReply {
    let mut reply = Response::with_body(status, body.boxed());
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    reply
}
