//! The settings of a daemon.

use std::net::SocketAddr;

use serde::Serialize;
use wisteriahitch_types::{AvailabilityZone, ByteCount, DaemonId, DurationUs, KeyHash};

use super::{LogLevel, PolicyName};

/// The settings of a daemon; `docs/SETTINGS.md` explains each.
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
/// "#).expect("the text is valid");
/// assert_eq!(settings.platform.reads_per_s, 20);
/// ```
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Settings {
    /// Name of the daemon, unique in the site.
    pub id: DaemonId,
    /// Availability zone of the VM that the daemon runs on.
    pub availability_zone: AvailabilityZone,
    /// Addresses that the daemon listens on.
    pub listen: ListenSettings,
    /// Access to the platform.
    pub platform: PlatformSettings,
    /// Discovery and probing of other daemons.
    pub peers: PeerSettings,
    /// Limits on requests from callers.
    pub limits: RequestLimits,
    /// Operators that the daemon accepts commands from.
    pub operators: OperatorSettings,
    /// Log level and destination.
    pub log: LogSettings,
    /// Threads and routing policy of the process.
    pub run: RunSettings,
}

/// Addresses that a daemon listens on and publishes to others.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ListenSettings {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other daemons.
    pub peers: SocketAddr,
    /// Address for operators and for metrics.
    pub operators: SocketAddr,
}

/// Access to the platform, from `[platform]`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlatformSettings {
    /// Addresses of the object API, tried in this order.
    pub addresses: Vec<SocketAddr>,
    /// Maximum number of reads per second by this daemon; a pending watch counts as one read.
    pub reads_per_s: u32,
    /// Maximum number of writes per second by this daemon.
    pub writes_per_s: u32,
    /// Maximum time to wait for an answer of the platform.
    pub timeout_us: DurationUs,
}

/// Discovery and probing of other daemons, from `[peers]`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PeerSettings {
    /// Peer addresses of the daemons to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Interval between rounds of probes.
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

/// Limits on the requests that a daemon accepts from callers, from `[limits]`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RequestLimits {
    /// Maximum size of the head of a request.
    pub header_bytes: ByteCount,
    /// Maximum size of the body of a request.
    pub body_bytes: ByteCount,
    /// Maximum size of the answer to a call that may not be repeated.
    pub answer_bytes: ByteCount,
    /// Maximum number of concurrent streams.
    pub streams: u32,
    /// Maximum time to receive the whole head of a request.
    pub header_timeout_us: DurationUs,
    /// Maximum time to receive the whole body of a request.
    pub body_timeout_us: DurationUs,
    /// Maximum time that a caller may go without reading any of its answer.
    pub reader_stall_timeout_us: DurationUs,
    /// Time after which a connection without a request is closed.
    pub idle_keep_alive_us: DurationUs,
    /// Maximum number of requests that wait for an endpoint.
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

/// Operators that a daemon accepts commands from, from `[operators]`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct OperatorSettings {
    /// Hashes of the operators' keys.
    pub key_hashes: Vec<KeyHash>,
}

/// Log level and destination, from `[log]`.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LogSettings {
    /// Minimum level of the lines that are written.
    pub level: LogLevel,
    /// Path of the log file; `None` for standard output.
    pub file: Option<String>,
}

/// Threads and routing policy of the process, from `[run]`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RunSettings {
    /// Number of threads that run requests.
    pub cores: u32,
    /// Routing policy; those other than the default are for experiments.
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
