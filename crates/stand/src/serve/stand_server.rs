use {
    super::connection_set::{ConnectionHandle, ConnectionSet, RequestGuard},
    actix_http::{
        HttpService, Request,
        body::{BodySize, MessageBody},
    },
    actix_rt::net::TcpStream,
    actix_service::{Service, ServiceFactory},
    bytes::Bytes,
    setup::{HttpBody, HttpReply},
    std::{
        convert::Infallible,
        future::Future,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::net::TcpListener,
};

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Time in which the head of a request must arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after an error of `accept`, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What happens to a running request when its caller closes its sending side.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HalfClosePolicy {
    /// The request is answered.
    Answer,
    /// The request is dropped.
    Cancel,
}

/// Body of a reply that keeps its request counted as running until it is sent or dropped.
struct GuardedBody {
    body: HttpBody,
    _guard: RequestGuard,
}

impl MessageBody for GuardedBody {
    type Error = <HttpBody as MessageBody>::Error;

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

/// Serves HTTP/1.1 like `setup::serve_http`, but its connections can be closed through
/// `connections`. Does not return.
pub async fn serve_stand<Handler, Answer>(
    listener: TcpListener,
    connections: ConnectionSet,
    half_close: HalfClosePolicy,
    handler: Handler,
) where
    Handler: Fn(Request) -> Answer + Clone + 'static,
    Answer: Future<Output = HttpReply> + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            actix_rt::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Some(handle) = connections.add() else {
            continue;
        };
        let connections = connections.clone();
        let handler = handler.clone();
        actix_rt::spawn(async move {
            tokio::select! {
                () = serve_stream(stream, Rc::clone(&handle), half_close, handler) => {}
                () = handle.wait_for_close() => {}
            }
            connections.remove(&handle);
        });
    }
}

async fn serve_stream<Handler, Answer>(
    stream: TcpStream,
    handle: Rc<ConnectionHandle>,
    half_close: HalfClosePolicy,
    handler: Handler,
) where
    Handler: Fn(Request) -> Answer + Clone + 'static,
    Answer: Future<Output = HttpReply> + 'static,
{
    let handler = move |request| {
        let guard = handle.begin_request();
        let answer = handler(request);
        async move {
            let reply = answer.await;
            let reply = reply.map_body(|_, body| GuardedBody {
                body,
                _guard: guard,
            });
            Ok::<_, Infallible>(reply)
        }
    };
    let factory = HttpService::build()
        .client_request_timeout(HEAD_TIMEOUT)
        .keep_alive(IDLE_TIMEOUT)
        .h1_allow_half_closed(half_close == HalfClosePolicy::Answer)
        .h1(handler)
        .tcp();
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let _ = service.call(stream).await;
}
