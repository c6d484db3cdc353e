//! The daemon's settings as plain data.

use std::net::SocketAddr;

use serde::Serialize;
use wisteriahitch_types::{AvailabilityZone, ByteCount, DaemonId, DurationUs, KeyHash};

use super::{LogLevel, PolicyName};

/// Holds the settings of one daemon; `docs/SETTINGS.md` explains each.
///
/// ```
/// use wisteriahitch_config::Settings;
///
/// let settings = Settings::check(r#"
///     id = "entry-1"
///     availability_zone = "colombo-a"
///     listen = { callers = "127.0.0.1:8080", peers = "127.0.0.1:8081", operators = "127.0.0.1:8082" }
///     platform.addresses = ["127.0.0.1:9000"]
///     operators.key_hashes = ["000102030405060708090a0b0c0d0e0f"]
/// "#).expect("the text is right");
/// assert_eq!(settings.platform.reads_per_s, 20);
/// ```
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Settings {
    /// Name of the daemon, unique in the site.
    pub id: DaemonId,
    /// Availability zone of the VM.
    pub availability_zone: AvailabilityZone,
    /// Addresses that the daemon serves.
    pub listen: ListenSettings,
    /// How the platform is called.
    pub platform: PlatformSettings,
    /// How other daemons are found and probed.
    pub peers: PeerSettings,
    /// Bounds on what one daemon takes from callers.
    pub limits: RequestLimits,
    /// Who may give this daemon orders.
    pub operators: OperatorSettings,
    /// What is logged, and where to.
    pub log: LogSettings,
    /// How the process runs.
    pub run: RunSettings,
}

/// Holds the addresses that a daemon serves; each is also the one that others are told.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ListenSettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
    /// For operators and metrics.
    pub operators: SocketAddr,
}

/// Holds how the platform is called.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlatformSettings {
    /// Addresses of the object API, tried in this order.
    pub addresses: Vec<SocketAddr>,
    /// Most reads a second of this daemon; a waiting watch counts as one.
    pub reads_per_s: u32,
    /// Most writes a second of this daemon.
    pub writes_per_s: u32,
    /// Longest wait for an answer.
    pub timeout_us: DurationUs,
}

/// Holds how other daemons are found and probed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PeerSettings {
    /// Peer addresses of daemons that are asked first.
    pub seeds: Vec<SocketAddr>,
    /// Time between two rounds of probes.
    pub probe_interval_us: DurationUs,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            probe_interval_us: DurationUs::from_ms(1_000),
        }
    }
}

/// Holds the bounds on what one daemon takes from callers.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RequestLimits {
    /// Longest head of a request.
    pub header_bytes: ByteCount,
    /// Longest body of a request.
    pub body_bytes: ByteCount,
    /// Longest answer of a call that may not be repeated.
    pub answer_bytes: ByteCount,
    /// Most streams at once.
    pub streams: u32,
    /// Longest wait for a request's whole head.
    pub header_timeout_us: DurationUs,
    /// Longest wait for a request's whole body.
    pub body_timeout_us: DurationUs,
    /// How long a caller may take nothing of its answer.
    pub reader_stall_timeout_us: DurationUs,
    /// How long a connection is kept without a request.
    pub idle_keep_alive_us: DurationUs,
    /// Most requests that wait for an endpoint.
    pub queued_requests: u32,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            header_bytes: ByteCount::new(16 << 10),
            body_bytes: ByteCount::new(4 << 20),
            answer_bytes: ByteCount::new(512 << 10),
            streams: 2_000,
            header_timeout_us: DurationUs::from_ms(5_000),
            body_timeout_us: DurationUs::from_ms(30_000),
            reader_stall_timeout_us: DurationUs::from_ms(30_000),
            idle_keep_alive_us: DurationUs::from_ms(75_000),
            queued_requests: 1_000,
        }
    }
}

/// Holds who may give a daemon orders.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct OperatorSettings {
    /// Hashes of the operators' keys.
    pub key_hashes: Vec<KeyHash>,
}

/// Holds what is logged, and where to.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LogSettings {
    /// Which lines are written.
    pub level: LogLevel,
    /// File that they are written to; standard output where none is given.
    pub file: Option<String>,
}

/// Holds how the process runs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RunSettings {
    /// Threads that run requests.
    pub cores: u32,
    /// Routing policy; the others than the default are for experiments.
    pub policy: PolicyName,
}

impl Default for RunSettings {
    fn default() -> Self {
        Self {
            cores: 2,
            policy: PolicyName::default(),
        }
    }
}
