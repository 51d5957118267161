//! Tests of `is_process_gone`, which connects to the address of a process.

use {
    setup::is_process_gone,
    std::time::Duration,
    tokio::net::{TcpListener, TcpStream},
};

/// Time for which the listener of a process that ends stays open after its last connection.
const CLOSE_DELAY: Duration = Duration::from_millis(20);

/// Time between the close of a listener and the start of the next process.
const RESTART_DELAY: Duration = Duration::from_millis(30);

async fn bind_listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

/// Guards against a process that ends and is taken for running: a connection made just before its
/// listener closes is accepted and then hangs.
#[actix_rt::test]
async fn process_that_accepted_a_last_connection_is_gone() {
    let listener = bind_listener().await;
    let address = listener.local_addr().unwrap();
    let closing = actix_rt::spawn(async move {
        let (last, _) = listener.accept().await.unwrap();
        actix_rt::time::sleep(CLOSE_DELAY).await;
        drop(listener);
        last
    });
    assert!(is_process_gone(address).await);
    drop(closing.await.unwrap());
}

/// Guards against a restart that goes unnoticed: a process that starts again at once refuses
/// connections only for a moment.
#[actix_rt::test]
async fn restarted_process_is_gone() {
    let first = bind_listener().await;
    let address = first.local_addr().unwrap();
    let restart = actix_rt::spawn(async move {
        let (last, _) = first.accept().await.unwrap();
        drop(first);
        actix_rt::time::sleep(RESTART_DELAY).await;
        let second = TcpListener::bind(address).await;
        (last, second)
    });
    assert!(is_process_gone(address).await);
    drop(restart.await.unwrap());
}

/// Guards against a running process that is taken for ended because it closes connections.
#[actix_rt::test]
async fn process_that_accepts_and_closes_is_not_gone() {
    let listener = bind_listener().await;
    let address = listener.local_addr().unwrap();
    let serving = actix_rt::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            drop::<TcpStream>(stream);
        }
    });
    assert!(!is_process_gone(address).await);
    serving.abort();
}
