//! Settings of a daemon, read from TOML.
//!
//! `docs/SETTINGS.md` lists the keys. Unknown keys are ignored, because a platform that generates
//! the file may add some. An invalid value of a known key stops the start.

mod bounds;
mod load_management;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use wisteriahitch_types::{AvailabilityZone, DaemonId, DurationUs, Region};

use crate::decide::rate_limit::RateBound;

pub use bounds::{BoundSettings, Bounds};
pub use load_management::{LoadManagement, LoadManagementError};

/// Why settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The settings file can't be read.
    #[error("the settings file {path} can't be read: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Error of the file system.
        source: std::io::Error,
    },
    /// The text isn't valid TOML, lacks a key or has a value of the wrong type.
    #[error("the settings are faulty: {0}")]
    Faulty(#[from] toml::de::Error),
    /// A required value without a default is absent.
    #[error("the setting {key} is absent; allowed is {allowed}")]
    Absent {
        /// Full name of the key.
        key: &'static str,
        /// Description of the allowed range.
        allowed: &'static str,
    },
    /// A value is out of range.
    #[error("the setting {key} is {value}; allowed is {allowed}")]
    OutOfRange {
        /// Full name of the key.
        key: &'static str,
        /// Value that was found.
        value: f64,
        /// Description of the allowed range.
        allowed: &'static str,
    },
}

/// All settings of a daemon.
#[derive(Clone, Debug, Deserialize)]
pub struct RelaySettings {
    /// Id of this daemon.
    pub id: DaemonId,
    /// IP address of the daemon's VM.
    pub ip: Ipv4Addr,
    /// Availability zone of the daemon's VM.
    pub zone: AvailabilityZone,
    /// Region of each availability zone. Empty if no call is restricted to a region.
    #[serde(default)]
    pub regions: BTreeMap<AvailabilityZone, Region>,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// Addresses of VMs that may run other daemons.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Resources available to the daemon.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Object store of the platform.
    pub store: StoreSettings,
    /// Time bounds of the deployment.
    #[serde(default)]
    pub bounds: BoundSettings,
    /// Load limits of endpoints right after their start.
    #[serde(default)]
    pub cold: ColdSettings,
    /// Retry budget.
    #[serde(default)]
    pub retry: RetrySettings,
    /// Management of load.
    #[serde(default)]
    pub load: LoadSettings,
    /// Rollout of new weights.
    #[serde(default)]
    pub rollout: RolloutSettings,
    /// Shutdown.
    #[serde(default)]
    pub drain: DrainSettings,
    /// Entry addresses given to callers.
    #[serde(default)]
    pub entries: EntrySettings,
    /// Log volume.
    #[serde(default)]
    pub log: LogSettings,
}

/// Addresses that a daemon listens on.
#[derive(Clone, Debug, Deserialize)]
pub struct ListenSettings {
    /// Calls of callers.
    pub callers: SocketAddr,
    /// Readiness probe.
    pub ready: SocketAddr,
    /// Requests for entry addresses.
    pub entries: SocketAddr,
    /// Address that other daemons list as a seed; not needed without seeds.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// Additional address for metrics, which the peer port serves too.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Port for other daemons, TCP and UDP; the same on every VM.
    pub peer_port: u16,
}

/// Resources available to a daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct LimitSettings {
    /// Memory of the process, in MB.
    pub memory_mb: f64,
    /// CPU cores available to the daemon; may be a fraction.
    pub cores: f64,
    /// Bandwidth of the VM's link, in Mbit/s.
    pub link_mbps: f64,
    /// Share of the memory that may buffer request bodies.
    pub body_share: f64,
}

/// Object store of the platform.
#[derive(Clone, Debug, Deserialize)]
pub struct StoreSettings {
    /// Address of the store's API.
    pub address: SocketAddr,
}

/// Time span over which the platform's limit on cold endpoints counts calls.
const COLD_RATE_SPAN_US: DurationUs = DurationUs::from_ms(1_000);

/// Limit on the calls that all daemons together send to an endpoint right after its start.
/// Unlimited unless both values are set.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct ColdSettings {
    /// Multiple of the rate that the endpoint's service states for cold endpoints.
    pub rate_ratio: Option<f64>,
    /// Calls allowed in addition to that rate, in any second.
    pub burst_calls: Option<f64>,
}

impl ColdSettings {
    /// Returns the limit, or `None` if the deployment has none.
    pub fn bound(&self) -> Option<RateBound> {
        Some(RateBound {
            rate_ratio: self.rate_ratio?,
            burst_calls: self.burst_calls?,
            span_us: COLD_RATE_SPAN_US,
        })
    }
}

/// Retry budget of all daemons together.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct RetrySettings {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries per window, for all daemons together.
    pub slack: f64,
}

/// Management of load.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct LoadSettings {
    /// Whether load is managed by learned rates and shares.
    pub management: LoadManagement,
}

/// Rollout of new weights.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct RolloutSettings {
    /// Share of the engines that may drain and load weights at the same time. The more load at
    /// once, the longer each one takes.
    pub parallel_share: f64,
    /// Number of engines that may load at the same time regardless of the share.
    pub parallel_min: usize,
    /// Minimum time between orders of two different lease holders, in milliseconds.
    pub lease_ms: u64,
}

/// Shutdown.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct DrainSettings {
    /// Time between the termination signal and the kill of the process, in seconds.
    pub grace_s: f64,
}

/// Entry addresses given to callers.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct EntrySettings {
    /// Time for which callers may cache an answer, in seconds.
    pub ttl_s: f64,
    /// Maximum value for `ttl_s`, in seconds.
    pub ttl_max_s: f64,
}

/// Log volume.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct LogSettings {
    /// Bytes per second above which lines are counted instead of written.
    pub bytes_per_s: u32,
    /// Successful calls per second above which they are counted instead of written.
    pub successes_per_s: u32,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            memory_mb: 256.0,
            cores: 1.0,
            link_mbps: 1_000.0,
            body_share: 0.2,
        }
    }
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            slack: 20.0,
        }
    }
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self {
            parallel_share: 0.2,
            parallel_min: 3,
            lease_ms: 3_000,
        }
    }
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self { grace_s: 8.0 }
    }
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            ttl_s: 1.2,
            ttl_max_s: 5.0,
        }
    }
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            bytes_per_s: 24_000,
            successes_per_s: 4,
        }
    }
}

impl RelaySettings {
    /// Reads a settings file and passes the names of unknown keys to `ignored`.
    ///
    /// # Errors
    ///
    /// See [`SettingsError`].
    pub fn load(path: &Path, ignored: impl FnMut(String)) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
            path: path.display().to_string(),
            source,
        })?;
        Self::parse(&text, ignored)
    }

    /// Parses settings and passes the names of unknown keys to `ignored`.
    ///
    /// # Errors
    ///
    /// See [`SettingsError`].
    pub fn parse(text: &str, mut ignored: impl FnMut(String)) -> Result<Self, SettingsError> {
        let deserializer = toml::Deserializer::parse(text)?;
        let settings: Self =
            serde_ignored::deserialize(deserializer, |path| ignored(path.to_string()))?;
        settings.check()?;
        Ok(settings)
    }

    /// Returns the time for which callers may cache an answer with entry addresses.
    pub fn entry_ttl(&self) -> Duration {
        Duration::from_secs_f64(self.entries.ttl_s.min(self.entries.ttl_max_s))
    }

    /// Returns the maximum number of bytes of request bodies that may be buffered at once.
    pub fn body_bytes(&self) -> usize {
        (self.limits.memory_mb * 1_000_000.0 * self.limits.body_share) as usize
    }

    /// Returns the validated bounds of the deployment.
    ///
    /// # Errors
    ///
    /// Returns the key of the first bound that is absent or out of range.
    pub fn bounds(&self) -> Result<Bounds, SettingsError> {
        self.bounds.checked()
    }

    fn check(&self) -> Result<(), SettingsError> {
        self.bounds()?;
        let positive = [
            ("limits.memory_mb", self.limits.memory_mb),
            ("drain.grace_s", self.drain.grace_s),
            ("entries.ttl_s", self.entries.ttl_s),
            ("entries.ttl_max_s", self.entries.ttl_max_s),
        ];
        for (key, value) in positive {
            check_range(key, value, value > 0.0 && value.is_finite(), "more than 0")?;
        }
        let shares = [
            ("limits.body_share", self.limits.body_share),
            ("retry.ratio", self.retry.ratio),
        ];
        for (key, value) in shares {
            check_range(key, value, (0.0..=1.0).contains(&value), "0 to 1")?;
        }
        let cold = [
            ("cold.rate_ratio", self.cold.rate_ratio),
            ("cold.burst_calls", self.cold.burst_calls),
        ];
        for (key, value) in cold {
            let value = value.unwrap_or_default();
            check_range(key, value, value >= 0.0 && value.is_finite(), "0 or more")?;
        }
        let slack = self.retry.slack;
        check_range("retry.slack", slack, slack >= 0.0, "0 or more")
    }
}

fn check_range(
    key: &'static str,
    value: f64,
    is_allowed: bool,
    allowed: &'static str,
) -> Result<(), SettingsError> {
    match is_allowed {
        true => Ok(()),
        false => Err(SettingsError::OutOfRange {
            key,
            value,
            allowed,
        }),
    }
}
