//! Messages for a peer that does not read them.

use {
    relay::{JobFrame, PeerGone, PeerMessage, PeerOutbox, write_frames},
    std::time::Duration,
    tokio::net::{TcpListener, TcpStream},
    wire::FrameSeal,
};

/// Messages that are queued at most before the peer must count as lost.
const MESSAGE_COUNT: u64 = 1_000_000;

#[actix_rt::test]
async fn messages_for_a_peer_that_does_not_read_do_not_pile_up() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("an address");
    let stream = TcpStream::connect(address).await.expect("connects");
    let _frozen = listener.accept().await.expect("accepts");
    let (_reader, writer) = stream.into_split();
    let (outbox, inbox) = PeerOutbox::open();
    let seal = FrameSeal::new([7; 32]);
    let writing = actix_rt::spawn(async move { write_frames(writer, &seal, inbox).await });
    let mut queued = 0;
    while queued < MESSAGE_COUNT {
        let frame = JobFrame::Cancel { number: queued };
        if outbox.send(PeerMessage::Job(frame)) == Err(PeerGone) {
            break;
        }
        queued += 1;
        if queued % 1_000 == 0 {
            actix_rt::time::sleep(Duration::from_millis(1)).await;
        }
    }
    assert!(queued < MESSAGE_COUNT, "{queued} messages wait");
    let ended = actix_rt::time::timeout(Duration::from_secs(5), writing).await;
    let outcome = ended.expect("the connection ends").expect("no panic");
    assert!(outcome.is_err());
}
