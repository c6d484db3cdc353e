//! What membership is told and what it asks its shell to do.

use std::net::{IpAddr, SocketAddr};

use serde::Serialize;
use wisteriahitch_types::{ConfigVersion, Incarnation};

use super::{MemberState, News};

/// Tells membership what has happened.
#[derive(Clone, Debug)]
pub enum MembershipEvent {
    /// Time has passed; drives rounds and time-outs.
    Tick,
    /// A probe was answered.
    ProbeAnswered {
        /// Address that was probed.
        address: SocketAddr,
        /// Incarnation that was meant, if one was.
        meant_for: Option<Incarnation>,
        /// Incarnation that answered.
        answered_by: Incarnation,
        /// News that came with the answer.
        news: Vec<News>,
    },
    /// A probe failed or wasn't answered in time.
    ProbeFailed {
        /// Incarnation that was meant, if one was.
        meant_for: Option<Incarnation>,
    },
    /// A peer told whether it reached a member for us, or could not be asked.
    IndirectAnswered {
        /// Member in question.
        target: Incarnation,
        /// Whether it answered.
        is_reached: bool,
        /// News that came with its answer.
        news: Vec<News>,
    },
    /// The platform's lagging list of VMs was read.
    VmList(Vec<VmNotice>),
    /// This daemon's load was measured, from 0 to 1000.
    Load(u32),
    /// This daemon has put a configuration in force.
    ConfigApplied(ConfigVersion),
    /// This daemon starts to drain.
    Drain,
    /// This daemon leaves now.
    Leave,
}

/// Holds one VM of the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct VmNotice {
    /// IP address.
    pub address: IpAddr,
    /// Whether the VM will go away soon.
    pub is_leaving: bool,
}

/// Asks the shell to do something.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum MembershipCommand {
    /// Send a probe.
    Probe {
        /// Where to.
        address: SocketAddr,
        /// Incarnation that is meant, if one is known.
        meant_for: Option<Incarnation>,
        /// News to send along.
        news: Vec<News>,
        /// Whether to ask for a page of the member list, after this incarnation.
        sync_after: Option<Incarnation>,
    },
    /// Ask a peer to probe a member.
    IndirectProbe {
        /// Peer to ask.
        helper: SocketAddr,
        /// Incarnation of that peer.
        helper_incarnation: Incarnation,
        /// Member in question.
        target: Incarnation,
        /// Its address.
        target_address: SocketAddr,
    },
    /// A member's state has changed; others may want to know.
    Changed {
        /// Member.
        incarnation: Incarnation,
        /// State it has now.
        state: MemberState,
    },
}
