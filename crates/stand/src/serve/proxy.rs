use {
    super::{
        connection_set::ConnectionSet,
        proxy_tcp::serve_tcp,
        proxy_udp::serve_udp,
        stand_server::{HalfClosePolicy, serve_stand},
    },
    actix_http::{Method, Request, StatusCode},
    anyhow::Context,
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    setup::{HttpReply, ReadyLine, RequestBody, json_reply, read_body, text_reply},
    stand::{ProxyDestination, ProxyFault},
    std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, UdpSocket},
        sync::watch,
    },
};

/// Number of attempts to find a port that is free over both TCP and UDP.
const MAX_PORT_ATTEMPTS: usize = 64;
/// Size limit of a body from an operator.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Time in which a body from an operator must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Run a proxy that injects faults into connections and datagrams.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "proxy")]
pub struct ProxyArgs {
    /// name of the proxy
    #[argh(option, default = "String::from(\"proxy\")")]
    name: String,
    /// address to listen at; the port is the same over TCP and UDP
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    listen: String,
    /// address of the server that connections go to; may be set later
    #[argh(option)]
    tcp_to: Option<SocketAddr>,
    /// address of the server that datagrams go to; may be set later
    #[argh(option)]
    udp_to: Option<SocketAddr>,
    /// seed of the random choices
    #[argh(option, default = "0")]
    seed: u64,
}

/// Settings that operators change while the proxy runs.
struct ProxyControl {
    faults: watch::Sender<ProxyFault>,
    destination: Rc<Cell<ProxyDestination>>,
}

/// Runs a proxy.
pub async fn run_proxy(args: ProxyArgs) -> anyhow::Result<()> {
    let (listener, socket) = bind_both(&args.listen).await?;
    let operator_listener = TcpListener::bind("127.0.0.1:0").await?;
    ReadyLine::new("camphor-stand", &args.name)
        .with_address("proxy", listener.local_addr()?)
        .with_address("operators", operator_listener.local_addr()?)
        .print()?;
    let destination = Rc::new(Cell::new(ProxyDestination {
        tcp: args.tcp_to,
        udp: args.udp_to,
    }));
    let control = Rc::new(ProxyControl {
        faults: watch::Sender::new(ProxyFault::default()),
        destination: Rc::clone(&destination),
    });
    let generator = ChaCha8Rng::seed_from_u64(args.seed);
    let (tcp_faults, udp_faults) = (control.faults.subscribe(), control.faults.subscribe());
    let handler = move |request| Rc::clone(&control).answer(request);
    tokio::join!(
        serve_stand(
            operator_listener,
            ConnectionSet::default(),
            HalfClosePolicy::Answer,
            handler
        ),
        serve_tcp(listener, Rc::clone(&destination), tcp_faults),
        serve_udp(socket, destination, udp_faults, generator),
    );
    Ok(())
}

impl ProxyControl {
    /// Answers an operator with the faults in force; a request to another path changes nothing.
    async fn answer(self: Rc<Self>, mut request: Request) -> HttpReply {
        let body = read_body(
            &mut RequestBody::take(&mut request),
            MAX_BODY_BYTES,
            BODY_TIMEOUT,
        )
        .await;
        let body = body.unwrap_or_default();
        let outcome = match (request.method(), request.path()) {
            (&Method::POST, "/fault") => {
                serde_json::from_slice(&body).map(|fault| drop(self.faults.send_replace(fault)))
            }
            (&Method::POST, "/to") => {
                serde_json::from_slice(&body).map(|destination| self.destination.set(destination))
            }
            _ => Ok(()),
        };
        match outcome {
            Ok(()) => json_reply(StatusCode::OK, &*self.faults.borrow()),
            Err(error) => text_reply(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }
}

/// Binds the same port over TCP and UDP; fails if none of the ports tried is free over both.
async fn bind_both(listen: &str) -> anyhow::Result<(TcpListener, UdpSocket)> {
    let mut last_error: Option<io::Error> = None;
    for _ in 0..MAX_PORT_ATTEMPTS {
        let listener = TcpListener::bind(listen).await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) => last_error = Some(error),
        }
    }
    Err(last_error.context("no port was tried")?.into())
}
