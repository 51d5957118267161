use {
    crate::shared::RelayCore,
    prometheus_client::encoding::EncodeLabelSet,
    room::{ClientRoom, MemoryShares},
    slog::warn,
    std::{rc::Rc, sync::atomic::Ordering, time::Duration},
};

/// Interval of looks whether connections gave way: each writes one line of the log at the most.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// An address at which the process listens, in metrics.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AddressLabel {
    /// Name of the address in the settings.
    pub address: String,
}

/// The room of clients' connections, for each address.
pub struct ClientRooms {
    pub callers: Rc<ClientRoom>,
    pub hops: Rc<ClientRoom>,
    pub peers: Rc<ClientRoom>,
    pub ready: Rc<ClientRoom>,
    pub addresses: Rc<ClientRoom>,
    pub operators: Rc<ClientRoom>,
}

impl ClientRooms {
    /// Divides the share of the memory that is for connections.
    pub fn new(shares: MemoryShares) -> Self {
        let auxiliary = || ClientRoom::new(shares.auxiliary_bytes());
        Self {
            callers: ClientRoom::new(shares.caller_bytes()),
            hops: ClientRoom::new(shares.hop_bytes()),
            peers: ClientRoom::new(shares.peer_bytes()),
            ready: auxiliary(),
            addresses: auxiliary(),
            operators: auxiliary(),
        }
    }

    /// Returns the rooms of the connections on which answers of targets are written.
    pub fn of_answers(&self) -> [Rc<ClientRoom>; 2] {
        [Rc::clone(&self.callers), Rc::clone(&self.hops)]
    }

    /// Brings the metrics up to date.
    pub fn update_metrics(&self, core: &RelayCore) {
        for (address, room) in self.by_address() {
            let label = AddressLabel {
                address: address.to_string(),
            };
            let counts = room.counts();
            let held = i64::try_from(counts.held()).unwrap_or(i64::MAX);
            let metrics = &core.metrics.clients;
            metrics.bytes.get_or_create(&label).set(held);
            let ended = metrics.ended.get_or_create(&label);
            ended.inner().store(counts.ended(), Ordering::Relaxed);
            let refused = metrics.refused.get_or_create(&label);
            refused.inner().store(counts.refused(), Ordering::Relaxed);
        }
    }

    fn by_address(&self) -> [(&'static str, &Rc<ClientRoom>); 6] {
        [
            ("callers", &self.callers),
            ("hops", &self.hops),
            ("peers", &self.peers),
            ("ready", &self.ready),
            ("addresses", &self.addresses),
            ("operators", &self.operators),
        ]
    }
}

/// Logs which addresses had to end or refuse connections, for as long as the process runs.
pub async fn report_ended_clients(core: Rc<RelayCore>) {
    let rooms = &core.client_rooms;
    let mut known = [(0, 0); 6];
    loop {
        actix_rt::time::sleep(REPORT_INTERVAL).await;
        for ((address, room), known) in rooms.by_address().into_iter().zip(&mut known) {
            let counts = (room.counts().ended(), room.counts().refused());
            if counts != *known {
                warn!(core.log, "clients gave way";
                    "address" => address,
                    "ended" => counts.0 - known.0,
                    "refused" => counts.1 - known.1,
                    "bytes" => room.counts().held(),
                );
                *known = counts;
            }
        }
    }
}
