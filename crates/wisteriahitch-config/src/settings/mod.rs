//! The settings file of a daemon.

mod addresses;
mod log_level;
mod policy_name;
mod read;
#[expect(clippy::module_inception, reason = "the file is named after its type")]
mod settings;

pub use log_level::LogLevel;
pub use policy_name::PolicyName;
pub use settings::{
    ListenSettings, LogSettings, OperatorSettings, PeerSettings, PlatformSettings, RequestLimits,
    RunSettings, Settings,
};
