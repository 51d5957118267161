use {
    super::{
        connection_set::ConnectionSet,
        proxy_tcp::serve_tcp,
        proxy_udp::serve_udp,
        stand_server::{CallerEnd, serve_stand},
    },
    actix_http::{Method, Request, StatusCode},
    anyhow::{Context, ensure},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    setup::{HttpReply, ReadyLine, json_reply, read_body, text_reply},
    stand::ProxyFault,
    std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, UdpSocket},
        sync::watch,
    },
};

/// Attempts to find a port that is free over TCP and UDP alike.
const PORT_ATTEMPTS: usize = 64;
/// Longest fault that is read, in bytes.
const FAULT_LIMIT: usize = 64 * 1024;
/// Time in which a fault must arrive.
const FAULT_TIME: Duration = Duration::from_secs(5);

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
    /// address that connections go to
    #[argh(option)]
    tcp_to: Option<SocketAddr>,
    /// address that datagrams go to
    #[argh(option)]
    udp_to: Option<SocketAddr>,
    /// seed of the random choices
    #[argh(option, default = "0")]
    seed: u64,
}

/// Runs a proxy.
pub async fn run_proxy(args: ProxyArgs) -> anyhow::Result<()> {
    let some = args.tcp_to.is_some() || args.udp_to.is_some();
    ensure!(some, "give --tcp-to, --udp-to or both");
    let (listener, socket) = bind_both(&args.listen).await?;
    let control = TcpListener::bind("127.0.0.1:0").await?;
    ReadyLine::new("camphor-stand", &args.name)
        .at("proxy", listener.local_addr()?)
        .at("operators", control.local_addr()?)
        .print()?;
    let faults = watch::Sender::new(ProxyFault::default());
    let generator = Rc::new(RefCell::new(ChaCha8Rng::seed_from_u64(args.seed)));
    let (for_tcp, for_udp) = (faults.subscribe(), faults.subscribe());
    let faults = Rc::new(faults);
    let handler = move |request| answer(Rc::clone(&faults), request);
    tokio::join!(
        serve_stand(
            control,
            ConnectionSet::default(),
            CallerEnd::Answers,
            handler
        ),
        async {
            if let Some(to) = args.tcp_to {
                serve_tcp(listener, to, for_tcp).await;
            }
        },
        async {
            if let Some(to) = args.udp_to {
                serve_udp(socket, to, for_udp, generator).await;
            }
        },
    );
    Ok(())
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

async fn answer(faults: Rc<watch::Sender<ProxyFault>>, mut request: Request) -> HttpReply {
    if request.method() == Method::POST && request.path() == "/fault" {
        let body = read_body(request.take_payload(), FAULT_LIMIT, FAULT_TIME).await;
        match serde_json::from_slice(&body.unwrap_or_default()) {
            Ok(fault) => drop(faults.send_replace(fault)),
            Err(error) => return text_reply(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }
    json_reply(StatusCode::OK, &*faults.borrow())
}
