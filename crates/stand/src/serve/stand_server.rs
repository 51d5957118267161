use {
    super::connection_set::{ConnectionHandle, ConnectionSet},
    actix_http::{HttpService, Request},
    actix_rt::net::TcpStream,
    actix_service::{Service, ServiceFactory},
    setup::HttpReply,
    std::{convert::Infallible, future::Future, rc::Rc, time::Duration},
    tokio::net::TcpListener,
};

/// Time for which an idle connection is kept.
const IDLE_TIME: Duration = Duration::from_secs(120);
/// Time in which the head of a request must arrive.
const HEAD_TIME: Duration = Duration::from_secs(30);
/// Pause after the kernel refused a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves HTTP/1.1 like `setup::serve_http`, but lets tests close connections at will.
pub async fn serve_stand<Handler, Answer>(
    listener: TcpListener,
    connections: ConnectionSet,
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
        let Some(handle) = connections.join() else {
            continue;
        };
        let connections = connections.clone();
        let handler = handler.clone();
        actix_rt::spawn(async move {
            tokio::select! {
                () = serve_stream(stream, Rc::clone(&handle), handler) => {}
                () = handle.closed() => {}
            }
            connections.leave(&handle);
        });
    }
}

async fn serve_stream<Handler, Answer>(
    stream: TcpStream,
    handle: Rc<ConnectionHandle>,
    handler: Handler,
) where
    Handler: Fn(Request) -> Answer + Clone + 'static,
    Answer: Future<Output = HttpReply> + 'static,
{
    let handler = move |request| {
        let guard = handle.begin();
        let answer = handler(request);
        async move {
            let reply = answer.await;
            drop(guard);
            Ok::<_, Infallible>(reply)
        }
    };
    let factory = HttpService::build()
        .client_request_timeout(HEAD_TIME)
        .keep_alive(IDLE_TIME)
        .h1(handler)
        .tcp();
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let _ = service.call(stream).await;
}
