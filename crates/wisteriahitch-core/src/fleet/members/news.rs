//! One piece of membership news, as it goes from daemon to daemon.

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{AvailabilityZone, ConfigVersion, DaemonId, Incarnation};

use super::{Member, MemberAddresses, MemberState};

/// Bytes of the numbers, the state and the field tags of one piece of news in a message.
const FIXED_BYTES: usize = 32;
/// Bytes of an IPv4 address with its port and field tag.
const V4_BYTES: usize = 8;
/// Bytes of an IPv6 address with its port and field tag.
const V6_BYTES: usize = 20;

/// Holds what one daemon says of a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// Configured name.
    pub daemon: DaemonId,
    /// Incarnation that the news is about.
    pub incarnation: Incarnation,
    /// Number of that incarnation's own news.
    pub news_number: u64,
    /// State.
    pub state: MemberState,
    /// Addresses; left out where the state is suspect, dead or left.
    pub addresses: Option<MemberAddresses>,
    /// Availability zone; left out together with the addresses.
    pub availability_zone: Option<AvailabilityZone>,
    /// Version of the configuration in force there.
    pub config_version: ConfigVersion,
    /// Load from 0 (idle) to 1000 (full).
    pub load_permille: u32,
}

impl News {
    /// Size of news with IPv4 addresses and names of up to 20 bytes, for planning.
    pub(crate) const MAX_V4_BYTES: usize = FIXED_BYTES + 3 * V4_BYTES + 2 * 20;

    /// Tells what is believed of `member`.
    pub fn of(member: &Member) -> Self {
        let is_whole = matches!(member.state, MemberState::Alive | MemberState::Draining);
        Self {
            daemon: member.daemon.clone(),
            incarnation: member.incarnation,
            news_number: member.news_number,
            state: member.state,
            addresses: is_whole.then_some(member.addresses),
            availability_zone: is_whole.then(|| member.availability_zone.clone()),
            config_version: member.config_version,
            load_permille: member.load_permille,
        }
    }

    /// Returns an upper bound of the bytes that the news takes in a message.
    pub fn size_bytes(&self) -> usize {
        let zone = self.availability_zone.as_ref();
        let zone_len = zone.map_or(0, |zone| zone.as_str().len());
        let address_bytes = self.addresses.map_or(0, address_bytes);
        FIXED_BYTES + self.daemon.as_str().len() + zone_len + address_bytes
    }

    /// Returns whether this news replaces a belief with that number and state.
    ///
    /// A member's own higher number wins, so that it can refute a suspicion; with one number the
    /// graver state wins, so that a suspicion isn't undone by older good news still going round.
    pub fn is_newer_than(&self, news_number: u64, state: MemberState) -> bool {
        (self.news_number, self.state) > (news_number, state)
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
