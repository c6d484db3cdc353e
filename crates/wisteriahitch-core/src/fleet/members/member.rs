//! One daemon as another one sees it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{AvailabilityZone, ConfigVersion, DaemonId, Incarnation, TimeUs};

/// Says what is believed of a member; of two beliefs with one news number the later one counts.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It takes no new callers and will leave.
    Draining,
    /// It didn't answer lately.
    Suspect,
    /// It was suspected for too long.
    Dead,
    /// It has left by its own word.
    Left,
}

impl MemberState {
    /// Returns whether a member in this state may still answer, and so is worth probing.
    pub const fn is_present(self) -> bool {
        !matches!(self, MemberState::Dead | MemberState::Left)
    }
}

/// Holds the addresses of a daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct MemberAddresses {
    /// Where callers connect.
    pub caller: SocketAddr,
    /// Where peers connect.
    pub peer: SocketAddr,
    /// Where operators connect.
    pub operator: SocketAddr,
}

/// Holds one incarnation of a daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Configured name.
    pub daemon: DaemonId,
    /// Random number drawn at its start.
    pub incarnation: Incarnation,
    /// Counts its own news; a higher number refutes what was said before.
    pub news_number: u64,
    /// What is believed of it.
    pub state: MemberState,
    /// Addresses.
    pub addresses: MemberAddresses,
    /// Availability zone it is in.
    pub availability_zone: AvailabilityZone,
    /// Version of the configuration in force there, as last heard.
    pub config_version: ConfigVersion,
    /// Load from 0 (idle) to 1000 (full), as last heard.
    pub load_permille: u32,
    /// When the state last changed, on this daemon's clock.
    pub changed_at_us: TimeUs,
    /// Whether the platform's list says that its VM is leaving.
    pub is_vm_leaving: bool,
}

impl Member {
    /// Returns whether it has a configuration in force, as far as is known.
    pub fn is_ready(&self) -> bool {
        self.config_version > ConfigVersion::new(0)
    }

    /// Returns whether callers may be sent to it.
    pub fn is_entry(&self) -> bool {
        self.state == MemberState::Alive && !self.is_vm_leaving
    }
}
