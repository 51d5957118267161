//! Stand-in of a replica: the connections, and what all replicas do alike.

use {
    crate::http_text::{HttpMessage, answer_bytes, read_message},
    std::{
        io::{self, BufReader, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::Arc,
        thread,
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// One connection of a caller to a replica.
pub struct ReplicaLink {
    pub stream: TcpStream,
    /// Second copy of an answer, which is sent where the answer to the next request is expected.
    pub late_copy: Option<Vec<u8>>,
}

/// What a replica does with a request that is meant for it.
pub trait ReplicaWork: Send + Sync + 'static {
    /// Runs a request and writes its answer. An error closes the connection.
    fn run(
        &self,
        replica: &ReplicaCard,
        request: &HttpMessage,
        link: &mut ReplicaLink,
    ) -> io::Result<()>;

    /// Returns the start of the process that runs now, in Unix milliseconds.
    fn born(&self, replica: &ReplicaCard) -> u128 {
        replica.born
    }
}

/// What a replica says of itself in the store.
#[derive(Debug, Clone)]
pub struct ReplicaCard {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub address: SocketAddr,
    /// Start of its process in Unix milliseconds.
    pub born: u128,
}

impl ReplicaCard {
    /// Returns the key of the replica's entry in the store.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Returns the replica's entry in the store.
    pub fn item(&self) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":1,\"born\":{}}}",
            self.service, self.address, self.zone, self.slots, self.born
        )
    }
}

/// Starts a replica, which listens on a loopback address until the process ends.
pub fn start_replica(
    id: &str,
    service: &str,
    zone: &str,
    slots: u32,
    work: Arc<impl ReplicaWork>,
) -> io::Result<ReplicaCard> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let born = SystemTime::now().duration_since(UNIX_EPOCH);
    let card = ReplicaCard {
        id: id.to_string(),
        service: service.to_string(),
        zone: zone.to_string(),
        slots,
        address: listener.local_addr()?,
        born: born.map_or(0, |time| time.as_millis()),
    };
    let serving = card.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (card, work) = (serving.clone(), Arc::clone(&work));
            // A caller that closes its connection ends the thread.
            thread::spawn(move || serve(&card, work.as_ref(), stream));
        }
    });
    Ok(card)
}

fn serve(card: &ReplicaCard, work: &impl ReplicaWork, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut link = ReplicaLink {
        stream,
        late_copy: None,
    };
    while let Some(request) = read_message(&mut reader)? {
        let expected = request.header("x-expect-instance");
        let report = request.path() == "/v1/report";
        if report || request.path() == "/health" {
            let body = format!("{{\"busy\":false,\"sequence\":1,\"born\":{}}}", work.born(card));
            let answer = answer_bytes(200, &[("X-Instance-Id", &card.id)], body.as_bytes());
            link.stream.write_all(&answer)?;
        } else if expected.is_some_and(|expected| expected != card.id) {
            let answer = answer_bytes(421, &[("X-Instance-Id", &card.id)], b"");
            link.stream.write_all(&answer)?;
        } else {
            work.run(card, &request, &mut link)?;
        }
    }
    Ok(())
}

/// Returns the bytes of an answer to a request that ran.
pub fn sealed_answer(request: &HttpMessage, body: &[u8]) -> Vec<u8> {
    let id = request.header("x-request-id").unwrap_or_default();
    let seal = format!("seal.{id}.{}", body.len());
    answer_bytes(
        200,
        &[("X-Request-Id", id), ("X-Response-Seal", &seal)],
        body,
    )
}
