//! Settings of a stand-in store.

use std::net::{Ipv4Addr, SocketAddr};

use wisteriahitch_types::{ByteCount, ByteRate, DurationUs};

/// Sets the sizes and speeds of a stand-in store.
#[derive(Clone, Debug)]
pub struct StoreOptions {
    /// Loopback address to serve.
    pub listen: SocketAddr,
    /// Capacity of the memory tier.
    pub memory_bytes: ByteCount,
    /// Capacity of the disk tier.
    pub disk_bytes: ByteCount,
    /// Rate of the link that all transfers share.
    pub link_bytes_per_s: ByteRate,
    /// Time after which a pin expires.
    pub pin_timeout_us: DurationUs,
    /// Time after which a reservation expires unless its write has begun.
    pub reserve_timeout_us: DurationUs,
}

impl Default for StoreOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            memory_bytes: ByteCount::new(64 * 1024 * 1024),
            disk_bytes: ByteCount::new(256 * 1024 * 1024),
            link_bytes_per_s: ByteRate::new(1_000_000_000),
            pin_timeout_us: DurationUs::from_ms(10_000),
            reserve_timeout_us: DurationUs::from_ms(30_000),
        }
    }
}
