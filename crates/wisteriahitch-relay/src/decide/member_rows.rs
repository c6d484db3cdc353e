//! What a daemon knows of another one: from its own messages, from a hub's reports, or its address
//! alone.

use std::net::Ipv4Addr;

use wisteriahitch_types::{DurationUs, Incarnation, TimeUs};

use super::gossip_message::MemberPhase;
use super::message_delay::MessageDelay;

/// Another daemon whose messages this one receives directly.
#[derive(Clone, Debug)]
pub struct PeerRow {
    /// Start of the daemon's process; a restarted daemon has another one.
    pub incarnation: Incarnation,
    /// Address.
    pub ip: Ipv4Addr,
    /// Availability zone.
    pub zone: String,
    /// Whether the daemon is starting, ready or draining.
    pub phase: MemberPhase,
    /// Capacity that the daemon reports, in thousandths of a core.
    pub capacity: u16,
    /// Rate of its VM's link in Mbit/s.
    pub link_mbps: u16,
    /// Whether the daemon is a hub.
    pub is_hub: bool,
    /// Whether the daemon watches the stores itself.
    pub follows_stores: bool,
    /// Whether the daemon reaches the store, or receives messages from another one that does.
    pub is_store_reachable: bool,
    /// Whether the daemon can't connect to the engines of a service.
    pub is_partitioned: bool,
    /// How much longer its last message took than the fastest recent one.
    pub message_delay_us: DurationUs,
    pub(super) delay_tracker: MessageDelay,
    pub(super) message_number: u64,
    pub(super) received_at_us: TimeUs,
    /// When the first message of the daemon arrived, or its phase changed.
    pub(super) changed_at_us: TimeUs,
}

impl PeerRow {
    /// Returns the daemon in the form in which hubs report it.
    pub fn report(&self) -> MemberReport {
        MemberReport {
            entry: self.entry(),
            phase: self.phase,
            changed_at_us: self.changed_at_us,
        }
    }

    /// Returns the daemon in the form in which callers get it.
    pub fn entry(&self) -> EntryPoint {
        EntryPoint {
            ip: self.ip,
            zone: self.zone.clone(),
            capacity: self.capacity,
            link_mbps: self.link_mbps,
        }
    }
}

/// A daemon that a hub reports.
#[derive(Clone, Debug)]
pub(super) struct IndirectPeerRow {
    pub(super) zone: String,
    pub(super) phase: MemberPhase,
    pub(super) capacity: u16,
    pub(super) link_mbps: u16,
    /// When a hub last reported the daemon.
    pub(super) received_at_us: TimeUs,
    /// The hub that last reported the daemon.
    pub(super) reporter: Ipv4Addr,
    /// Since when no other hub has reported the daemon.
    pub(super) reporter_since_us: TimeUs,
    /// When a hub first reported the daemon, or its phase changed.
    pub(super) changed_at_us: TimeUs,
    /// Until when a hub forwards the daemon as a member.
    pub(super) forwarded_until_us: TimeUs,
    /// Until when the daemon counts as a member.
    pub(super) expires_at_us: TimeUs,
}

impl IndirectPeerRow {
    /// Returns the daemon in the form in which callers get it.
    pub(super) fn entry(&self, ip: Ipv4Addr) -> EntryPoint {
        EntryPoint {
            ip,
            zone: self.zone.clone(),
            capacity: self.capacity,
            link_mbps: self.link_mbps,
        }
    }

    /// Returns the daemon in the form in which hubs report it.
    pub(super) fn report(&self, ip: Ipv4Addr) -> MemberReport {
        MemberReport {
            entry: self.entry(ip),
            phase: self.phase,
            changed_at_us: self.changed_at_us,
        }
    }
}

/// A daemon that callers may be sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryPoint {
    /// Address.
    pub ip: Ipv4Addr,
    /// Availability zone.
    pub zone: String,
    /// Capacity that the daemon reports, in thousandths of a core.
    pub capacity: u16,
    /// Rate of its VM's link in Mbit/s.
    pub link_mbps: u16,
}

/// A daemon as hubs report it to others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberReport {
    /// The daemon.
    pub entry: EntryPoint,
    /// Whether it is starting, ready or draining.
    pub phase: MemberPhase,
    /// When it became known, or its phase changed.
    pub changed_at_us: TimeUs,
}

/// An address that may be a daemon's, known from the settings, the store or other daemons.
#[derive(Clone, Debug)]
pub(super) struct KnownAddress {
    pub(super) zone: Option<String>,
    pub(super) link_mbps: u16,
    /// When the address was first recorded, or the daemon's last message arrived.
    pub(super) since_us: TimeUs,
    /// Whether a daemon there has sent a message or was reported by a hub, and didn't announce its
    /// departure.
    pub(super) is_confirmed: bool,
}
