//! A proxy for the link between one machine and the store, which can be cut without a reset.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Interval at which a cut link looks whether it is whole again.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Passes bytes on in both directions; while it is cut, it holds them.
pub struct LinkProxy {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl LinkProxy {
    /// Starts a proxy to an address.
    pub fn start(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let is_cut = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&is_cut);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let flag = Arc::clone(&flag);
                // A connection that fails ends with its threads.
                thread::spawn(move || join(near, to, &flag));
            }
        });
        Ok(Self { address, is_cut })
    }

    /// Cuts the link, or makes it whole again.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
    }
}

fn join(near: TcpStream, to: SocketAddr, is_cut: &Arc<AtomicBool>) -> io::Result<()> {
    wait_whole(is_cut);
    let far = TcpStream::connect(to)?;
    let (near_reader, far_writer) = (near.try_clone()?, far.try_clone()?);
    let flag = Arc::clone(is_cut);
    thread::spawn(move || pass_on(near_reader, far_writer, &flag));
    pass_on(far, near, is_cut)
}

fn pass_on(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) -> io::Result<()> {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let count = from.read(&mut buffer)?;
        wait_whole(is_cut);
        if count == 0 {
            return to.shutdown(std::net::Shutdown::Write);
        }
        to.write_all(&buffer[..count])?;
    }
}

fn wait_whole(is_cut: &AtomicBool) {
    while is_cut.load(Ordering::Relaxed) {
        thread::sleep(CUT_POLL_INTERVAL);
    }
}
