//! A daemon as seen by another daemon.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{AvailabilityZone, ConfigVersion, DaemonId, Incarnation, TimeUs};

/// Believed state of a member. Of two updates with the same update number, the one with the later
/// variant wins.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member accepts no new callers and is going to leave.
    Draining,
    /// Recent probes of the member failed.
    Suspect,
    /// The member did not refute the suspicion in time.
    Dead,
    /// The member announced that it left.
    Left,
}

impl MemberState {
    /// Returns whether a member in this state may still answer and is therefore worth probing.
    pub const fn is_present(self) -> bool {
        !matches!(self, MemberState::Dead | MemberState::Left)
    }
}

/// Addresses of a daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct MemberAddresses {
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for peers.
    pub peer: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
}

/// One incarnation of a daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Configured name of the daemon.
    pub daemon: DaemonId,
    /// Random number chosen when the daemon started.
    pub incarnation: Incarnation,
    /// Number of the member's latest own update. A higher number refutes earlier updates about it.
    #[serde(rename = "news_number")]
    pub update_number: u64,
    /// Believed state.
    pub state: MemberState,
    /// Addresses of the daemon.
    pub addresses: MemberAddresses,
    /// Availability zone of the daemon.
    pub availability_zone: AvailabilityZone,
    /// Last received version of the configuration that the member has in force; 0 if it has none.
    pub config_version: ConfigVersion,
    /// Last received load, from 0 (idle) to 1000 (full).
    pub load_permille: u32,
    /// When the state last changed, on the local clock.
    pub changed_at_us: TimeUs,
    /// Whether the platform's list marks the member's VM as leaving.
    pub is_vm_leaving: bool,
}

impl Member {
    /// Returns whether the member is known to have a configuration in force.
    pub fn is_ready(&self) -> bool {
        self.config_version > ConfigVersion::new(0)
    }

    /// Returns whether callers may be sent to this member.
    pub fn accepts_callers(&self) -> bool {
        self.state == MemberState::Alive && !self.is_vm_leaving
    }
}
