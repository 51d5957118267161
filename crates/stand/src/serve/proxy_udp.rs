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

/// Longest datagram.
const DATAGRAM_BYTES: usize = 64 * 1024;
/// Senders that the proxy keeps apart; datagrams of further ones are lost.
const FLOW_LIMIT: usize = 1_024;

/// Carries datagrams to a server and its replies back, with faults.
pub async fn serve_udp(
    socket: UdpSocket,
    target: Rc<Cell<ProxyDestination>>,
    faults: watch::Receiver<ProxyFault>,
    generator: ChaCha8Rng,
) {
    let carrier = Rc::new(DatagramCarrier {
        socket,
        target,
        faults,
        generator: RefCell::new(generator),
        flows: RefCell::default(),
    });
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        if let Ok((size, client)) = carrier.socket.recv_from(&mut buffer).await {
            let datagram = Bytes::copy_from_slice(&buffer[..size]);
            carrier.carry_to(client, &datagram).await;
        }
    }
}

struct DatagramCarrier {
    socket: UdpSocket,
    target: Rc<Cell<ProxyDestination>>,
    faults: watch::Receiver<ProxyFault>,
    generator: RefCell<ChaCha8Rng>,
    /// One socket towards the server for each client, so that replies find their way back.
    flows: RefCell<BTreeMap<SocketAddr, Rc<UdpSocket>>>,
}

impl DatagramCarrier {
    async fn carry_to(self: &Rc<Self>, client: SocketAddr, datagram: &Bytes) {
        let Some(to) = self.target.get().udp else {
            return;
        };
        let known = self.flows.borrow().get(&client).cloned();
        let known = known.filter(|flow| flow.peer_addr().is_ok_and(|address| address == to));
        let flow = match known {
            Some(flow) => Some(flow),
            None => self.open_flow(client, to).await.ok(),
        };
        let Some(flow) = flow else {
            return;
        };
        let fault = self.faults.borrow().clone();
        if fault.cut_sources.contains(&client) {
            return;
        }
        for _ in 0..self.copies(&fault, &fault.to) {
            let (flow, datagram) = (Rc::clone(&flow), datagram.clone());
            send_late(&fault.to, async move { flow.send(&datagram).await });
        }
    }

    async fn open_flow(
        self: &Rc<Self>,
        client: SocketAddr,
        to: SocketAddr,
    ) -> io::Result<Rc<UdpSocket>> {
        if self.flows.borrow().len() >= FLOW_LIMIT {
            return Err(io::ErrorKind::QuotaExceeded.into());
        }
        let flow = UdpSocket::bind((to.ip(), 0)).await;
        let flow = Rc::new(flow?);
        flow.connect(to).await?;
        self.flows.borrow_mut().insert(client, Rc::clone(&flow));
        actix_rt::spawn(Rc::clone(self).carry_replies(Rc::clone(&flow), client));
        Ok(flow)
    }

    async fn carry_replies(self: Rc<Self>, flow: Rc<UdpSocket>, client: SocketAddr) {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            let Ok(size) = flow.recv(&mut buffer).await else {
                continue;
            };
            let fault = self.faults.borrow().clone();
            for _ in 0..self.copies(&fault, &fault.from) {
                let carrier = Rc::clone(&self);
                let datagram = Bytes::copy_from_slice(&buffer[..size]);
                send_late(&fault.from, async move {
                    carrier.socket.send_to(&datagram, client).await
                });
            }
        }
    }

    /// How often a datagram goes on: 0 if it is lost.
    fn copies(&self, fault: &ProxyFault, flow: &DirectionFault) -> usize {
        let mut generator = self.generator.borrow_mut();
        let lost = generator.random::<f64>() < flow.drop_share;
        let doubled = generator.random::<f64>() < flow.duplicate_share;
        if fault.cut || flow.hold || lost {
            0
        } else if doubled {
            2
        } else {
            1
        }
    }
}

/// Sends a datagram after the delay of its direction.
fn send_late(flow: &DirectionFault, send: impl Future<Output = io::Result<usize>> + 'static) {
    let delay = Duration::from_millis(flow.delay_ms);
    actix_rt::spawn(async move {
        if !delay.is_zero() {
            actix_rt::time::sleep(delay).await;
        }
        let _ = send.await;
    });
}
