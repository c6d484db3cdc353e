//! Input events and output commands of membership.

use std::net::{IpAddr, SocketAddr};

use serde::Serialize;
use wisteriahitch_types::{ConfigVersion, Incarnation};

use super::{MemberState, MembershipUpdate};

/// Input of [`Membership::handle`](super::Membership::handle).
#[derive(Clone, Debug)]
pub enum MembershipEvent {
    /// Time has passed; triggers probe rounds and timeouts.
    Tick,
    /// A probe was answered.
    ProbeAnswered {
        /// Address that was probed.
        address: SocketAddr,
        /// Incarnation that the probe was addressed to, or `None` if it was for any incarnation.
        meant_for: Option<Incarnation>,
        /// Incarnation that answered.
        answered_by: Incarnation,
        /// Updates carried by the answer.
        updates: Vec<MembershipUpdate>,
    },
    /// A probe failed or timed out.
    ProbeFailed {
        /// Incarnation that the probe was addressed to, or `None` if it was for any incarnation.
        meant_for: Option<Incarnation>,
    },
    /// An indirect probe has ended: the peer reported the result or could not be asked.
    IndirectAnswered {
        /// Member that is probed.
        target: Incarnation,
        /// Whether the member answered the peer.
        is_reached: bool,
        /// Updates carried by the peer's answer.
        updates: Vec<MembershipUpdate>,
    },
    /// The platform's list of VMs was read. The list lags behind the real state.
    VmList(Vec<ListedVm>),
    /// This daemon's load was measured, from 0 (idle) to 1000 (full).
    Load(u32),
    /// This daemon has put a configuration version in force.
    ConfigApplied(ConfigVersion),
    /// This daemon starts to drain.
    Drain,
    /// This daemon is about to exit.
    Leave,
}

/// One VM of the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct ListedVm {
    /// IP address of the VM.
    pub address: IpAddr,
    /// Whether the platform is about to remove the VM.
    pub is_leaving: bool,
}

/// Action that the caller of [`Membership::handle`](super::Membership::handle) must perform.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum MembershipCommand {
    /// Send a probe.
    Probe {
        /// Peer address to probe.
        address: SocketAddr,
        /// Incarnation that the probe is addressed to, if known.
        meant_for: Option<Incarnation>,
        /// Updates to send with the probe.
        #[serde(rename = "news")]
        updates: Vec<MembershipUpdate>,
        /// Requests the page of the member list that starts after this incarnation; `None` requests
        /// no page.
        sync_after: Option<Incarnation>,
    },
    /// Ask a peer to probe a member.
    IndirectProbe {
        /// Address of the peer to ask.
        helper: SocketAddr,
        /// Incarnation of that peer.
        helper_incarnation: Incarnation,
        /// Member that is probed.
        target: Incarnation,
        /// Peer address of that member.
        target_address: SocketAddr,
    },
    /// A member's state has changed. For information only.
    Changed {
        /// Member that changed.
        incarnation: Incarnation,
        /// New state.
        state: MemberState,
    },
}
