use {
    super::{
        connection_set::ConnectionSet,
        proxy_tcp::serve_tcp,
        proxy_udp::serve_udp,
        stand_server::{CallerEnd, serve_stand},
    },
    actix_http::{Method, Request, StatusCode},
    anyhow::Context,
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    setup::{HttpReply, ReadyLine, json_reply, read_body, text_reply},
    stand::{ProxyDestination, ProxyFault},
    std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, UdpSocket},
        sync::watch,
    },
};

/// Attempts to find a port that is free over TCP and UDP alike.
const PORT_ATTEMPTS: usize = 64;
/// Longest body that is read, in bytes.
const BODY_LIMIT: usize = 64 * 1024;
/// Time in which a body must arrive.
const BODY_TIME: Duration = Duration::from_secs(5);

/// A proxy that injects faults into connections and datagrams.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "proxy")]
pub struct ProxyArgs {
    /// name of the proxy
    #[argh(option, default = "String::from(\"proxy\")")]
    name: String,
    /// address to listen at, the same port over TCP and UDP
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    listen: String,
    /// address that connections go to; may be set later
    #[argh(option)]
    tcp_to: Option<SocketAddr>,
    /// address that datagrams go to; may be set later
    #[argh(option)]
    udp_to: Option<SocketAddr>,
    /// seed of the random choices
    #[argh(option, default = "0")]
    seed: u64,
}

/// What operators change while the proxy runs.
struct ProxyDesk {
    faults: watch::Sender<ProxyFault>,
    target: Rc<Cell<ProxyDestination>>,
}

/// Runs a proxy.
pub async fn run_proxy(args: ProxyArgs) -> anyhow::Result<()> {
    let (listener, socket) = bind_both(&args.listen).await?;
    let control = TcpListener::bind("127.0.0.1:0").await?;
    ReadyLine::new("camphor-stand", &args.name)
        .with_address("proxy", listener.local_addr()?)
        .with_address("operators", control.local_addr()?)
        .print()?;
    let target = Rc::new(Cell::new(ProxyDestination {
        tcp: args.tcp_to,
        udp: args.udp_to,
    }));
    let desk = Rc::new(ProxyDesk {
        faults: watch::Sender::new(ProxyFault::default()),
        target: Rc::clone(&target),
    });
    let generator = ChaCha8Rng::seed_from_u64(args.seed);
    let (for_tcp, for_udp) = (desk.faults.subscribe(), desk.faults.subscribe());
    let handler = move |request| Rc::clone(&desk).answer(request);
    tokio::join!(
        serve_stand(
            control,
            ConnectionSet::default(),
            CallerEnd::Answers,
            handler
        ),
        serve_tcp(listener, Rc::clone(&target), for_tcp),
        serve_udp(socket, target, for_udp, generator),
    );
    Ok(())
}

impl ProxyDesk {
    async fn answer(self: Rc<Self>, mut request: Request) -> HttpReply {
        let body = read_body(request.take_payload(), BODY_LIMIT, BODY_TIME).await;
        let body = body.unwrap_or_default();
        let outcome = match (request.method(), request.path()) {
            (&Method::POST, "/fault") => {
                serde_json::from_slice(&body).map(|fault| drop(self.faults.send_replace(fault)))
            }
            (&Method::POST, "/to") => {
                serde_json::from_slice(&body).map(|target| self.target.set(target))
            }
            _ => Ok(()),
        };
        match outcome {
            Ok(()) => json_reply(StatusCode::OK, &*self.faults.borrow()),
            Err(error) => text_reply(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }
}

/// Binds the same port over TCP and UDP.
async fn bind_both(listen: &str) -> anyhow::Result<(TcpListener, UdpSocket)> {
    let mut last: Option<io::Error> = None;
    for _ in 0..PORT_ATTEMPTS {
        let listener = TcpListener::bind(listen).await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) => last = Some(error),
        }
    }
    Err(last.context("no attempt")?.into())
}
