//! The proxy as a process.

mod common;

use {
    common::{LIMIT, StandCall, call, start},
    proofs::{ChildProcess, JsonProbe, wait_until},
    stand::{CallRecord, DirectionFault, ProxyFault},
    std::time::{Duration, Instant},
    tempfile::TempDir,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpStream, UdpSocket},
    },
};

/// Time in which a byte would have come through an open proxy.
const SILENCE: Duration = Duration::from_millis(300);

/// A call as its bytes leave an entry.
const RAW_CALL: &[u8] = b"POST /call HTTP/1.1\r\nhost: p1\r\nx-camphor-customer: farm\r\n\
    x-camphor-request: r1\r\nx-camphor-stage: 0\r\nx-camphor-attempt: 1\r\n\
    x-camphor-call: encode\r\ncontent-length: 3\r\n\r\nhay";

async fn set_fault(proxy: &ChildProcess, fault: &ProxyFault) -> anyhow::Result<()> {
    let url = format!("http://{}/fault", proxy.address("operators"));
    JsonProbe::new().post(&url, fault).await.map(|_| ())
}

async fn start_pair(folder: &TempDir) -> anyhow::Result<(ChildProcess, ChildProcess)> {
    let plain = start(folder.path(), &["plain", "--name", "p1"]).await?;
    let to = plain.address("calls");
    let proxy = start(folder.path(), &["proxy", "--tcp-to", &to]).await?;
    Ok((plain, proxy))
}

#[actix_rt::test]
async fn cut_resets_old_and_new_connections() -> anyhow::Result<()> {
    let folder = TempDir::new()?;
    let (_plain, proxy) = start_pair(&folder).await?;
    let address = proxy.address("proxy");
    assert_eq!(call(&address, &StandCall::default()).await?.status, 200);
    let mut open = TcpStream::connect(&address).await?;
    let cut = ProxyFault {
        cut: true,
        ..ProxyFault::default()
    };
    set_fault(&proxy, &cut).await?;
    let read = actix_rt::time::timeout(LIMIT, open.read_u8()).await?;
    assert!(read.is_err(), "the old connection is gone");
    assert!(call(&address, &StandCall::default()).await.is_err());
    set_fault(&proxy, &ProxyFault::default()).await?;
    assert_eq!(call(&address, &StandCall::default()).await?.status, 200);
    Ok(())
}

#[actix_rt::test]
async fn held_direction_goes_on_where_it_stopped() -> anyhow::Result<()> {
    let folder = TempDir::new()?;
    let (_plain, proxy) = start_pair(&folder).await?;
    let hold = DirectionFault {
        hold: true,
        ..DirectionFault::default()
    };
    for fault in [
        ProxyFault {
            to: hold.clone(),
            ..ProxyFault::default()
        },
        ProxyFault {
            from: hold.clone(),
            ..ProxyFault::default()
        },
    ] {
        set_fault(&proxy, &fault).await?;
        let (address, input) = (proxy.address("proxy"), StandCall::default());
        let mut held = Box::pin(call(&address, &input));
        let early = actix_rt::time::timeout(SILENCE, &mut held).await;
        assert!(early.is_err(), "nothing comes while it is held");
        set_fault(&proxy, &ProxyFault::default()).await?;
        assert_eq!(held.await?.status, 200);
    }
    Ok(())
}

#[actix_rt::test]
async fn delay_and_rate_make_answers_late() -> anyhow::Result<()> {
    let folder = TempDir::new()?;
    let (_plain, proxy) = start_pair(&folder).await?;
    let mut late = ProxyFault::default();
    late.from.delay_ms = 200;
    set_fault(&proxy, &late).await?;
    let started = Instant::now();
    call(&proxy.address("proxy"), &StandCall::default()).await?;
    assert!(started.elapsed() >= Duration::from_millis(200));
    let mut slow = ProxyFault::default();
    slow.to.slow_bytes_per_s = 1_000;
    set_fault(&proxy, &slow).await?;
    let started = Instant::now();
    let long = StandCall {
        input: &[b'x'; 500],
        ..StandCall::default()
    };
    assert!(call(&proxy.address("proxy"), &long).await?.whole);
    assert!(started.elapsed() >= Duration::from_millis(400));
    Ok(())
}

#[actix_rt::test]
async fn half_close_still_brings_the_answer() -> anyhow::Result<()> {
    let folder = TempDir::new()?;
    let arguments = ["plain", "--name", "p1", "--delay-ms", "300"];
    let plain = start(folder.path(), &arguments).await?;
    let to = plain.address("calls");
    let proxy = start(folder.path(), &["proxy", "--tcp-to", &to]).await?;
    let mut open = TcpStream::connect(proxy.address("proxy")).await?;
    open.write_all(RAW_CALL).await?;
    let records = format!("http://{to}/records");
    wait_until("the call arrived", LIMIT, async || {
        let records = JsonProbe::new().get::<Vec<CallRecord>>(&records).await;
        records.is_ok_and(|records| records.len() == 1)
    })
    .await?;
    let mut half = ProxyFault::default();
    half.to.half_close = true;
    set_fault(&proxy, &half).await?;
    let mut answer = String::new();
    let read = open.read_to_string(&mut answer);
    actix_rt::time::timeout(LIMIT, read).await??;
    assert!(answer.starts_with("HTTP/1.1 200"), "then the end: {answer}");
    Ok(())
}

#[actix_rt::test]
async fn datagrams_are_lost_and_doubled_by_share_and_source() -> anyhow::Result<()> {
    let folder = TempDir::new()?;
    let server = UdpSocket::bind("127.0.0.1:0").await?;
    let to = server.local_addr()?.to_string();
    let arguments = ["proxy", "--udp-to", &to, "--seed", "7"];
    let proxy = start(folder.path(), &arguments).await?;
    let client = UdpSocket::bind("127.0.0.1:0").await?;
    client.connect(proxy.address("proxy")).await?;
    let mut fault = ProxyFault::default();
    fault.to.duplicate_share = 1.0;
    set_fault(&proxy, &fault).await?;
    assert_eq!(count_received(&client, &server, 50).await?, 100);
    fault.to.duplicate_share = 0.0;
    fault.to.drop_share = 0.5;
    set_fault(&proxy, &fault).await?;
    let received = count_received(&client, &server, 200).await?;
    assert!((50..=150).contains(&received), "{received} of 200");
    fault.to.drop_share = 0.0;
    fault.cut_sources = vec![client.local_addr()?];
    set_fault(&proxy, &fault).await?;
    assert_eq!(count_received(&client, &server, 10).await?, 0);
    Ok(())
}

/// Sends datagrams and counts those that arrive until none has come for a while.
async fn count_received(
    client: &UdpSocket,
    server: &UdpSocket,
    number: usize,
) -> anyhow::Result<usize> {
    for _ in 0..number {
        client.send(b"beat").await?;
    }
    let mut received = 0;
    let mut buffer = [0; 16];
    while let Ok(datagram) = actix_rt::time::timeout(SILENCE, server.recv(&mut buffer)).await {
        assert_eq!(&buffer[..datagram?], b"beat");
        received += 1;
    }
    Ok(received)
}

#[actix_rt::test]
async fn replies_find_their_client() -> anyhow::Result<()> {
    let folder = TempDir::new()?;
    let server = UdpSocket::bind("127.0.0.1:0").await?;
    let to = server.local_addr()?.to_string();
    let proxy = start(folder.path(), &["proxy", "--udp-to", &to]).await?;
    for name in [b"one", b"two"] {
        let client = UdpSocket::bind("127.0.0.1:0").await?;
        client.connect(proxy.address("proxy")).await?;
        client.send(name).await?;
        let mut buffer = [0; 16];
        let (size, from) = actix_rt::time::timeout(LIMIT, server.recv_from(&mut buffer)).await??;
        server.send_to(&buffer[..size], from).await?;
        let size = actix_rt::time::timeout(LIMIT, client.recv(&mut buffer)).await??;
        assert_eq!(&buffer[..size], name);
    }
    Ok(())
}
