//! A membership update as it is sent between daemons.

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{AvailabilityZone, ConfigVersion, DaemonId, Incarnation};

use super::{Member, MemberAddresses, MemberState};

/// Encoded size in bytes of the numbers, the state and the field tags of one update.
const FIXED_BYTES: usize = 32;
/// Encoded size in bytes of an IPv4 address with its port and field tag.
const V4_BYTES: usize = 8;
/// Encoded size in bytes of an IPv6 address with its port and field tag.
const V6_BYTES: usize = 20;

/// State of one member as reported by a daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MembershipUpdate {
    /// Configured name of the member.
    pub daemon: DaemonId,
    /// Incarnation that the update is about.
    pub incarnation: Incarnation,
    /// Update number of that incarnation.
    #[serde(rename = "news_number")]
    pub update_number: u64,
    /// Believed state of the member.
    pub state: MemberState,
    /// Addresses; `None` if the state is suspect, dead or left.
    pub addresses: Option<MemberAddresses>,
    /// Availability zone; `None` if there are no addresses.
    pub availability_zone: Option<AvailabilityZone>,
    /// Version of the configuration that the member has in force; 0 if it has none.
    pub config_version: ConfigVersion,
    /// Load from 0 (idle) to 1000 (full).
    pub load_permille: u32,
}

impl MembershipUpdate {
    /// Maximum size in bytes of an update with IPv4 addresses and names of up to 20 bytes; used to
    /// reserve bytes for a page of the member list.
    pub(crate) const MAX_V4_BYTES: usize = FIXED_BYTES + 3 * V4_BYTES + 2 * 20;

    /// Creates an update from the local view of `member`.
    pub fn of(member: &Member) -> Self {
        let has_addresses = matches!(member.state, MemberState::Alive | MemberState::Draining);
        Self {
            daemon: member.daemon.clone(),
            incarnation: member.incarnation,
            update_number: member.update_number,
            state: member.state,
            addresses: has_addresses.then_some(member.addresses),
            availability_zone: has_addresses.then(|| member.availability_zone.clone()),
            config_version: member.config_version,
            load_permille: member.load_permille,
        }
    }

    /// Returns an upper bound of the encoded size in bytes.
    pub fn size_bytes(&self) -> usize {
        let zone = self.availability_zone.as_ref();
        let zone_len = zone.map_or(0, |zone| zone.as_str().len());
        let address_bytes = self.addresses.map_or(0, address_bytes);
        FIXED_BYTES + self.daemon.as_str().len() + zone_len + address_bytes
    }

    /// Returns whether this update replaces a view with the given update number and state.
    ///
    /// A higher number of the member itself wins, so that it can refute a suspicion. With equal
    /// numbers the more severe state wins, so that older positive updates that still circulate
    /// cannot undo a suspicion.
    pub fn supersedes(&self, update_number: u64, state: MemberState) -> bool {
        (self.update_number, self.state) > (update_number, state)
    }
}

fn address_bytes(addresses: MemberAddresses) -> usize {
    [addresses.caller, addresses.peer, addresses.operator]
        .iter()
        .map(|address| {
            if address.is_ipv4() {
                V4_BYTES
            } else {
                V6_BYTES
            }
        })
        .sum()
}
