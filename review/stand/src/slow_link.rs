//! Connections like those over a slow link: small segments and a small receive window. Over the
//! loopback device segments have 64 KiB, and the kernel would take megabytes of an answer at once.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    os::fd::{FromRawFd, OwnedFd},
};

/// Longest segment, as on an Ethernet link, in bytes.
const SEGMENT_BYTES: i32 = 1_460;
/// Receive window in bytes.
const WINDOW_BYTES: i32 = 64 * 1024;

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

/// `struct sockaddr_in` of Linux.
#[repr(C)]
struct Ipv4Address {
    family: u16,
    port: [u8; 2],
    host: [u8; 4],
    padding: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const Ipv4Address, length: u32) -> i32;
}

/// Opens a connection. The options must be set before it is established, for which the standard
/// library has no function.
pub fn connect_slowly(address: SocketAddr) -> io::Result<TcpStream> {
    let SocketAddr::V4(address) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    // SAFETY: the call takes no pointers.
    let descriptor = check(unsafe { socket(AF_INET, SOCK_STREAM, 0) })?;
    // SAFETY: the descriptor was just opened, and nothing else owns it.
    let owned = unsafe { OwnedFd::from_raw_fd(descriptor) };
    let options = [
        (SOL_SOCKET, SO_RCVBUF, WINDOW_BYTES),
        (IPPROTO_TCP, TCP_MAXSEG, SEGMENT_BYTES),
    ];
    for (level, name, value) in options {
        // SAFETY: the value outlives the call and has the stated length.
        check(unsafe { setsockopt(descriptor, level, name, &raw const value, 4) })?;
    }
    let target = Ipv4Address {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        host: address.ip().octets(),
        padding: [0; 8],
    };
    let length = size_of::<Ipv4Address>() as u32;
    // SAFETY: the address outlives the call and has the stated length.
    check(unsafe { connect(descriptor, &raw const target, length) })?;
    Ok(TcpStream::from(owned))
}

fn check(result: i32) -> io::Result<i32> {
    match result {
        0.. => Ok(result),
        _ => Err(io::Error::last_os_error()),
    }
}
