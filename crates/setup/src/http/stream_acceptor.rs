use {
    crate::http::{
        HttpLimits, client_stream::ClientStream, connection_cost::OPEN_BYTES,
        http_server::wait_closing,
    },
    actix_service::Service,
    futures_util::FutureExt,
    room::ClientRoom,
    socket2::SockRef,
    std::{
        cell::Cell,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
    },
};

/// Pause after a failed `accept`, for instance because no file descriptors are left.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Longest time for which connections wait until another one has ended.
const ROOM_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two checks whether another one has ended.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Counts one open connection until it is dropped.
struct ConnectionGuard {
    open_count: Rc<Cell<usize>>,
}

impl ConnectionGuard {
    fn register(open_count: &Rc<Cell<usize>>) -> Self {
        open_count.set(open_count.get() + 1);
        Self {
            open_count: Rc::clone(open_count),
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.open_count.set(self.open_count.get() - 1);
    }
}

/// Accepts connections and serves each in the background.
pub(super) struct StreamAcceptor<S> {
    listener: TcpListener,
    limits: HttpLimits,
    room: Rc<ClientRoom>,
    closing: watch::Receiver<bool>,
    open_count: Rc<Cell<usize>>,
    service: Rc<S>,
}

impl<S: Service<(ClientStream, Option<SocketAddr>)> + 'static> StreamAcceptor<S> {
    pub fn new(
        listener: TcpListener,
        limits: HttpLimits,
        room: Rc<ClientRoom>,
        closing: watch::Receiver<bool>,
        open_count: Rc<Cell<usize>>,
        service: S,
    ) -> Self {
        Self {
            listener,
            limits,
            room,
            closing,
            open_count,
            service: Rc::new(service),
        }
    }

    pub async fn accept_streams(&self) {
        loop {
            match self.listener.accept().await {
                Ok((stream, address)) => {
                    let has_room = self.make_room().await;
                    self.serve(stream, address);
                    if !has_room {
                        // Those behind it have waited meanwhile; in turn, the last would wait for all.
                        self.accept_waiting();
                    }
                }
                Err(_) => actix_rt::time::sleep(ACCEPT_RETRY_PAUSE).await,
            }
        }
    }

    /// Waits until one more connection may be open, for a while; others give way to it. Returns false if
    /// none may be open by then.
    async fn make_room(&self) -> bool {
        let deadline = Instant::now() + ROOM_TIMEOUT;
        while !self.has_room() {
            let now = Instant::now();
            if now >= deadline {
                return false;
            }
            let max_others = self.limits.max_connections.saturating_sub(1);
            self.room.make_room_for_new(OPEN_BYTES, max_others, now);
            tokio::select! {
                () = self.room.until_freed() => {}
                () = actix_rt::time::sleep(ROOM_POLL_INTERVAL) => {}
            }
        }
        true
    }

    /// Returns true if one more connection may be open.
    fn has_room(&self) -> bool {
        self.open_count.get() < self.limits.max_connections && self.room.has_space(OPEN_BYTES)
    }

    /// Accepts the connections that wait: closing the listener would reset them. The runtime may not
    /// know of them yet.
    pub fn accept_waiting(&self) {
        let listener = SockRef::from(&self.listener);
        while let Ok((socket, address)) = listener.accept() {
            let stream = socket.set_nonblocking(true);
            let stream = stream.and_then(|()| TcpStream::from_std(socket.into()));
            if let (Ok(stream), Some(address)) = (stream, address.as_socket()) {
                self.serve(stream, address);
            }
        }
    }

    fn serve(&self, stream: TcpStream, address: SocketAddr) {
        if !self.has_room() {
            self.room.count_refused();
            return;
        }
        let guard = ConnectionGuard::register(&self.open_count);
        let stream = ClientStream::new(
            stream,
            &self.room,
            wait_closing(self.closing.clone()).boxed_local(),
            (self.limits.write_timeout, self.limits.allows_half_closed),
        );
        let service = Rc::clone(&self.service);
        actix_rt::spawn(serve_stream(service, stream, address, guard));
    }
}

async fn serve_stream<S: Service<(ClientStream, Option<SocketAddr>)>>(
    service: Rc<S>,
    stream: ClientStream,
    address: SocketAddr,
    _guard: ConnectionGuard,
) {
    stream.set_nodelay();
    let _ = service.call((stream, Some(address))).await;
}
