use {
    bytes::Bytes,
    rand::Rng,
    rand_chacha::ChaCha8Rng,
    stand::{DirectionFault, ProxyDestination, ProxyFault},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        io,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{net::UdpSocket, sync::watch},
};

/// Size limit of a datagram.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;
/// Largest number of clients; the datagrams of further ones are lost.
const MAX_CLIENTS: usize = 1_024;

/// Forwards datagrams to the destination's server and its replies back, with faults. Does not
/// return.
pub async fn serve_udp(
    socket: UdpSocket,
    destination: Rc<Cell<ProxyDestination>>,
    faults: watch::Receiver<ProxyFault>,
    generator: ChaCha8Rng,
) {
    let forwarder = Rc::new(DatagramForwarder {
        socket,
        destination,
        faults,
        generator: RefCell::new(generator),
        client_sockets: RefCell::default(),
    });
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        if let Ok((size, client)) = forwarder.socket.recv_from(&mut buffer).await {
            let datagram = Bytes::copy_from_slice(&buffer[..size]);
            forwarder.forward_to_server(client, &datagram).await;
        }
    }
}

/// Forwards datagrams between clients and a server.
struct DatagramForwarder {
    /// Socket that clients send to.
    socket: UdpSocket,
    destination: Rc<Cell<ProxyDestination>>,
    faults: watch::Receiver<ProxyFault>,
    generator: RefCell<ChaCha8Rng>,
    /// One socket towards the server for each client, so that a reply can be matched to its client.
    client_sockets: RefCell<BTreeMap<SocketAddr, Rc<UdpSocket>>>,
}

impl DatagramForwarder {
    /// Sends a client's datagram to the server, from the client's socket.
    async fn forward_to_server(self: &Rc<Self>, client: SocketAddr, datagram: &Bytes) {
        let Some(server_address) = self.destination.get().udp else {
            return;
        };
        let known_socket = self.client_sockets.borrow().get(&client).cloned();
        let known_socket = known_socket.filter(|socket| {
            socket
                .peer_addr()
                .is_ok_and(|address| address == server_address)
        });
        let socket = match known_socket {
            Some(socket) => Some(socket),
            None => self.open_socket(client, server_address).await.ok(),
        };
        let Some(socket) = socket else {
            return;
        };
        let fault = self.faults.borrow().clone();
        if fault.cut_sources.contains(&client) {
            return;
        }
        for _ in 0..self.copy_count(&fault, &fault.to) {
            let (socket, datagram) = (Rc::clone(&socket), datagram.clone());
            send_delayed(&fault.to, async move { socket.send(&datagram).await });
        }
    }

    /// Opens the socket of a client and starts to forward the server's replies.
    async fn open_socket(
        self: &Rc<Self>,
        client: SocketAddr,
        server_address: SocketAddr,
    ) -> io::Result<Rc<UdpSocket>> {
        if self.client_sockets.borrow().len() >= MAX_CLIENTS {
            return Err(io::ErrorKind::QuotaExceeded.into());
        }
        let socket = UdpSocket::bind((server_address.ip(), 0)).await;
        let socket = Rc::new(socket?);
        socket.connect(server_address).await?;
        self.client_sockets
            .borrow_mut()
            .insert(client, Rc::clone(&socket));
        actix_rt::spawn(Rc::clone(self).forward_replies(Rc::clone(&socket), client));
        Ok(socket)
    }

    /// Sends the replies that arrive at a client's socket to the client. Does not return.
    async fn forward_replies(self: Rc<Self>, socket: Rc<UdpSocket>, client: SocketAddr) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok(size) = socket.recv(&mut buffer).await else {
                continue;
            };
            let fault = self.faults.borrow().clone();
            for _ in 0..self.copy_count(&fault, &fault.from) {
                let forwarder = Rc::clone(&self);
                let datagram = Bytes::copy_from_slice(&buffer[..size]);
                send_delayed(&fault.from, async move {
                    forwarder.socket.send_to(&datagram, client).await
                });
            }
        }
    }

    /// Draws how many times a datagram is sent: 0 if it is lost, 2 if it is duplicated.
    fn copy_count(&self, fault: &ProxyFault, direction: &DirectionFault) -> usize {
        let mut generator = self.generator.borrow_mut();
        let is_lost = generator.random::<f64>() < direction.drop_share;
        let is_duplicated = generator.random::<f64>() < direction.duplicate_share;
        if fault.cut || direction.hold || is_lost {
            0
        } else if is_duplicated {
            2
        } else {
            1
        }
    }
}

/// Sends a datagram after the delay of its direction.
fn send_delayed(
    direction: &DirectionFault,
    send: impl Future<Output = io::Result<usize>> + 'static,
) {
    let delay = Duration::from_millis(direction.delay_ms);
    actix_rt::spawn(async move {
        if !delay.is_zero() {
            actix_rt::time::sleep(delay).await;
        }
        let _ = send.await;
    });
}
