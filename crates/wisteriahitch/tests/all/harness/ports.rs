//! Loopback ports that no other test uses.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// First port, below the range that the kernel gives to outgoing connections.
const FIRST: u16 = 12_000;
const COUNT: u16 = 12_000;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// Returns an address whose port is free and won't be given out again by this process.
pub(crate) fn free_address() -> SocketAddr {
    let offset = (std::process::id() % 64) as u16 * 180;
    for _ in 0..COUNT {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST + (offset + number) % COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no port is free");
}
