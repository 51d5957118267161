//! The link of one entry to a replica: it passes connections on unless it is cut.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

/// A proxy on loopback before one replica.
pub struct CutLink {
    pub address: SocketAddr,
    replica: SocketAddr,
    connections: Mutex<Vec<TcpStream>>,
    is_cut: AtomicBool,
}

impl CutLink {
    pub fn start(replica: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a link");
        let link = Arc::new(Self {
            address: listener.local_addr().expect("a bound socket"),
            replica,
            connections: Mutex::default(),
            is_cut: AtomicBool::new(false),
        });
        let serving = Arc::clone(&link);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                serving.pass_on(stream);
            }
        });
        link
    }

    /// Resets what is open; from now on each new connection is reset.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        for connection in self.connections.lock().expect("the connections").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// From now on new connections are passed on again.
    pub fn restore(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
    }

    fn pass_on(&self, near: TcpStream) {
        if self.is_cut.load(Ordering::SeqCst) {
            return;
        }
        let Ok(far) = TcpStream::connect(self.replica) else {
            return;
        };
        for (from, to) in [(&near, &far), (&far, &near)] {
            let (Ok(from), Ok(to), Ok(kept)) = (from.try_clone(), to.try_clone(), from.try_clone())
            else {
                return;
            };
            self.connections.lock().expect("the connections").push(kept);
            thread::spawn(move || copy(from, to));
        }
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut bytes = [0; 16 * 1024];
    while let Ok(count) = from.read(&mut bytes) {
        if count == 0 || to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
