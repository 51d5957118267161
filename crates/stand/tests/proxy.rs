//! Proxy processes: faults of connections and datagrams.

mod common;

use {
    common::{STEP_TIMEOUT, StandCall, call, start},
    proofs::{ChildProcess, JsonProbe, wait_until},
    stand::{CallRecord, DirectionFault, ProxyFault},
    std::time::{Duration, Instant},
    tempfile::TempDir,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpStream, UdpSocket},
    },
};

/// Silence after which a test concludes that nothing more comes through the proxy.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(300);

/// Bytes of a call as an entry sends it.
const RAW_CALL: &[u8] = b"POST /call HTTP/1.1\r\nhost: p1\r\nx-camphor-customer: farm\r\n\
    x-camphor-request: r1\r\nx-camphor-stage: 0\r\nx-camphor-attempt: 1\r\n\
    x-camphor-call: encode\r\ncontent-length: 3\r\n\r\nhay";

async fn set_fault(proxy: &ChildProcess, fault: &ProxyFault) -> anyhow::Result<()> {
    let url = format!("http://{}/fault", proxy.address("operators"));
    JsonProbe::new().post(&url, fault).await.map(|_| ())
}

/// Starts a plain service and a proxy in front of it.
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
    let mut open_connection = TcpStream::connect(&address).await?;
    let cut = ProxyFault {
        cut: true,
        ..ProxyFault::default()
    };
    set_fault(&proxy, &cut).await?;
    let read = actix_rt::time::timeout(STEP_TIMEOUT, open_connection.read_u8()).await?;
    assert!(read.is_err(), "the old connection is not reset");
    assert!(call(&address, &StandCall::default()).await.is_err());
    set_fault(&proxy, &ProxyFault::default()).await?;
    assert_eq!(call(&address, &StandCall::default()).await?.status, 200);
    Ok(())
}

#[actix_rt::test]
async fn held_direction_continues_where_it_stopped() -> anyhow::Result<()> {
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
        let mut held_call = Box::pin(call(&address, &input));
        let early = actix_rt::time::timeout(SILENCE_TIMEOUT, &mut held_call).await;
        assert!(early.is_err(), "the answer came while a direction was held");
        set_fault(&proxy, &ProxyFault::default()).await?;
        assert_eq!(held_call.await?.status, 200);
    }
    Ok(())
}

#[actix_rt::test]
async fn delay_and_rate_limit_slow_answers_down() -> anyhow::Result<()> {
    let folder = TempDir::new()?;
    let (_plain, proxy) = start_pair(&folder).await?;
    let mut delay = ProxyFault::default();
    delay.from.delay_ms = 200;
    set_fault(&proxy, &delay).await?;
    let started = Instant::now();
    call(&proxy.address("proxy"), &StandCall::default()).await?;
    assert!(started.elapsed() >= Duration::from_millis(200));
    let mut rate_limit = ProxyFault::default();
    rate_limit.to.slow_bytes_per_s = 1_000;
    set_fault(&proxy, &rate_limit).await?;
    let started = Instant::now();
    let long_call = StandCall {
        input: &[b'x'; 500],
        ..StandCall::default()
    };
    assert!(call(&proxy.address("proxy"), &long_call).await?.is_whole);
    assert!(started.elapsed() >= Duration::from_millis(400));
    Ok(())
}

#[actix_rt::test]
async fn request_is_answered_after_a_half_close() -> anyhow::Result<()> {
    let folder = TempDir::new()?;
    let arguments = ["plain", "--name", "p1", "--delay-ms", "300"];
    let plain = start(folder.path(), &arguments).await?;
    let to = plain.address("calls");
    let proxy = start(folder.path(), &["proxy", "--tcp-to", &to]).await?;
    let mut connection = TcpStream::connect(proxy.address("proxy")).await?;
    connection.write_all(RAW_CALL).await?;
    let records_url = format!("http://{to}/records");
    wait_until("the call arrived", STEP_TIMEOUT, async || {
        let records = JsonProbe::new().get::<Vec<CallRecord>>(&records_url).await;
        records.is_ok_and(|records| records.len() == 1)
    })
    .await?;
    let mut half_close = ProxyFault::default();
    half_close.to.half_close = true;
    set_fault(&proxy, &half_close).await?;
    let mut answer = String::new();
    let read = connection.read_to_string(&mut answer);
    actix_rt::time::timeout(STEP_TIMEOUT, read).await??;
    assert!(
        answer.starts_with("HTTP/1.1 200"),
        "no answer after the half-close: {answer}"
    );
    Ok(())
}

#[actix_rt::test]
async fn datagrams_are_lost_and_duplicated_by_share_and_source() -> anyhow::Result<()> {
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

/// Sends `count` datagrams and returns how many arrive until there is silence.
async fn count_received(
    client: &UdpSocket,
    server: &UdpSocket,
    count: usize,
) -> anyhow::Result<usize> {
    for _ in 0..count {
        client.send(b"beat").await?;
    }
    let mut received = 0;
    let mut buffer = [0; 16];
    while let Ok(datagram) =
        actix_rt::time::timeout(SILENCE_TIMEOUT, server.recv(&mut buffer)).await
    {
        assert_eq!(&buffer[..datagram?], b"beat");
        received += 1;
    }
    Ok(received)
}

#[actix_rt::test]
async fn replies_reach_the_client_that_asked() -> anyhow::Result<()> {
    let folder = TempDir::new()?;
    let server = UdpSocket::bind("127.0.0.1:0").await?;
    let to = server.local_addr()?.to_string();
    let proxy = start(folder.path(), &["proxy", "--udp-to", &to]).await?;
    for name in [b"one", b"two"] {
        let client = UdpSocket::bind("127.0.0.1:0").await?;
        client.connect(proxy.address("proxy")).await?;
        client.send(name).await?;
        let mut buffer = [0; 16];
        let (size, from) =
            actix_rt::time::timeout(STEP_TIMEOUT, server.recv_from(&mut buffer)).await??;
        server.send_to(&buffer[..size], from).await?;
        let size = actix_rt::time::timeout(STEP_TIMEOUT, client.recv(&mut buffer)).await??;
        assert_eq!(&buffer[..size], name);
    }
    Ok(())
}
