//! Settings of a daemon that passes opaque calls, as TOML.
//!
//! `docs/SETTINGS.md` lists the keys. Unknown keys are ignored, since a platform that fills in the
//! file may add some; a known key with a faulty value stops the start.

mod bounds;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use wisteriahitch_types::{AvailabilityZone, DaemonId, DurationUs, Region};

use crate::decide::rate_limit::RateBound;

pub use bounds::{BoundSettings, Bounds};

/// Reports settings that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("the settings file {path} can't be read: {source}")]
    Unreadable {
        /// Path.
        path: String,
        /// Cause.
        source: std::io::Error,
    },
    /// The text isn't TOML, lacks a key or holds a faulty value.
    #[error("the settings are faulty: {0}")]
    Faulty(#[from] toml::de::Error),
    /// A value that has no default is absent.
    #[error("the setting {key} is absent; allowed is {allowed}")]
    Absent {
        /// Key.
        key: &'static str,
        /// Range in words.
        allowed: &'static str,
    },
    /// A value is out of range.
    #[error("the setting {key} is {value}; allowed is {allowed}")]
    OutOfRange {
        /// Key.
        key: &'static str,
        /// Value.
        value: f64,
        /// Range in words.
        allowed: &'static str,
    },
}

/// All settings of a daemon.
#[derive(Clone, Debug, Deserialize)]
pub struct RelaySettings {
    /// Name of this daemon.
    pub id: DaemonId,
    /// Address of its VM.
    pub ip: Ipv4Addr,
    /// Availability zone that it is in.
    pub zone: AvailabilityZone,
    /// Region of each availability zone. Empty where no call is bound to a region.
    #[serde(default)]
    pub regions: BTreeMap<AvailabilityZone, Region>,
    /// Addresses that it listens on.
    pub listen: ListenSettings,
    /// Addresses of VMs that may run other daemons.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Bounds on what it may use.
    #[serde(default)]
    pub limits: LimitSettings,
    /// The platform's store.
    pub store: StoreSettings,
    /// Bounds of the deployment.
    #[serde(default)]
    pub bounds: BoundSettings,
    /// Endpoints right after their start.
    #[serde(default)]
    pub cold: ColdSettings,
    /// Retries.
    #[serde(default)]
    pub retry: RetrySettings,
    /// New weights.
    #[serde(default)]
    pub rollout: RolloutSettings,
    /// Leaving.
    #[serde(default)]
    pub drain: DrainSettings,
    /// Entry addresses.
    #[serde(default)]
    pub entries: EntrySettings,
    /// Log.
    #[serde(default)]
    pub log: LogSettings,
}

/// Addresses that a daemon listens on.
#[derive(Clone, Debug, Deserialize)]
pub struct ListenSettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For the question whether it is ready.
    pub ready: SocketAddr,
    /// For the question where to connect.
    pub entries: SocketAddr,
    /// For other daemons, at seeds; not needed where there are none.
    #[serde(default)]
    pub control: Option<SocketAddr>,
    /// For whoever reads metrics, beside the peers' port, where they stand too.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// For other daemons, both TCP and UDP; the same on every VM.
    pub peer_port: u16,
}

/// Bounds on what a daemon may use.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct LimitSettings {
    /// Memory of the process.
    pub memory_mb: f64,
    /// Part of a core that the daemon has.
    pub cores: f64,
    /// Rate of the VM's link.
    pub link_mbps: f64,
    /// Share of the memory that bodies of requests may take while they wait.
    pub body_share: f64,
}

/// The platform's store.
#[derive(Clone, Debug, Deserialize)]
pub struct StoreSettings {
    /// Address.
    pub address: SocketAddr,
}

/// Span in which the platform's rule counts what a cold endpoint gets.
const COLD_RATE_SPAN_US: DurationUs = DurationUs::from_ms(1_000);

/// What all daemons together may send to an endpoint right after its start. Without both values there is no bound.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct ColdSettings {
    /// Multiple of the rate that the endpoint's service states.
    pub rate_ratio: Option<f64>,
    /// Calls beyond that in any second.
    pub burst_calls: Option<f64>,
}

impl ColdSettings {
    /// Returns the bound, if the deployment has one.
    pub fn bound(&self) -> Option<RateBound> {
        Some(RateBound {
            rate_ratio: self.rate_ratio?,
            burst_calls: self.burst_calls?,
            span_us: COLD_RATE_SPAN_US,
        })
    }
}

/// Retries, over all daemons.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct RetrySettings {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond that in one window, of all daemons together.
    pub slack: f64,
}

/// New weights.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct RolloutSettings {
    /// Share of the engines that are emptied and load at once; more at once each take longer.
    pub parallel_share: f64,
    /// Engines that may do so however few there are.
    pub parallel_min: usize,
    /// Time that must lie between orders of two holders.
    pub lease_ms: u64,
}

/// Leaving.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct DrainSettings {
    /// Time from the signal to leave until the process is killed.
    pub grace_s: f64,
}

/// Entry addresses.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct EntrySettings {
    /// How long callers may keep an answer.
    pub ttl_s: f64,
    /// Most that an answer may say.
    pub ttl_max_s: f64,
}

/// Log.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct LogSettings {
    /// Bytes a second above which lines are counted instead of written.
    pub bytes_per_s: u32,
    /// Calls that ended well, a second, above which they are counted instead of written.
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
    /// Reads a settings file; keys that nothing knows are told to `ignored`.
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

    /// Reads settings; keys that nothing knows are told to `ignored`.
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

    /// Returns how long callers may keep an answer with entry addresses.
    pub fn entry_ttl(&self) -> Duration {
        Duration::from_secs_f64(self.entries.ttl_s.min(self.entries.ttl_max_s))
    }

    /// Returns how many bytes of requests' bodies may be held at once.
    pub fn body_bytes(&self) -> usize {
        (self.limits.memory_mb * 1_000_000.0 * self.limits.body_share) as usize
    }

    /// Returns the bounds of the deployment.
    ///
    /// # Errors
    ///
    /// Names the key that is absent or out of range.
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
