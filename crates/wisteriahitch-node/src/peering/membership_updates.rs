//! Converts membership updates between the core's types and the wire messages.

use std::net::SocketAddr;

use bytes::Bytes;
use wisteriahitch_core::fleet::{MemberAddresses, MemberState, MembershipUpdate};
use wisteriahitch_peer::{MemberNews, MemberState as WireState, decode_address, encode_address};
use wisteriahitch_types::{ConfigVersion, Incarnation};

/// Converts a membership update to its message.
pub(crate) fn to_wire(update: &MembershipUpdate) -> MemberNews {
    let address = |pick: fn(&MemberAddresses) -> SocketAddr| {
        let picked = update.addresses.as_ref().map(pick);
        picked.map_or_else(Bytes::new, encode_address)
    };
    MemberNews {
        daemon_id: update.daemon.to_string(),
        incarnation: update.incarnation.get(),
        news_number: update.update_number,
        state: wire_state(update.state).into(),
        caller_address: address(|addresses| addresses.caller),
        peer_address: address(|addresses| addresses.peer),
        operator_address: address(|addresses| addresses.operator),
        availability_zone: update
            .availability_zone
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
        config_version: update.config_version.get(),
        load_permille: update.load_permille,
    }
}

/// Converts the membership updates of a message; malformed ones are skipped.
pub(crate) fn from_wire(updates: &[MemberNews]) -> Vec<MembershipUpdate> {
    updates.iter().filter_map(try_from_wire).collect()
}

/// Maximum update number or configuration version accepted from a peer. Incrementing from here
/// can't overflow a `u64` in practice.
const MAX_PEER_NUMBER: u64 = 1 << 62;

/// Converts one membership update; `None` if it violates the protocol.
///
/// The numbers are bounded because the daemon increments them: it refutes a wrong membership
/// update about itself with the next number. If a faulty peer could send the largest number, the
/// daemon would stop there, and with it every task that reads the members.
fn try_from_wire(update: &MemberNews) -> Option<MembershipUpdate> {
    if update.news_number > MAX_PEER_NUMBER || update.config_version > MAX_PEER_NUMBER {
        return None;
    }
    let addresses = match update.omits_addresses() {
        true => None,
        false => Some(MemberAddresses {
            caller: decode_address(&update.caller_address).ok()?,
            peer: decode_address(&update.peer_address).ok()?,
            operator: decode_address(&update.operator_address).ok()?,
        }),
    };
    let availability_zone = match addresses {
        Some(_) => Some(update.availability_zone.parse().ok()?),
        None => None,
    };
    Some(MembershipUpdate {
        daemon: update.daemon_id.parse().ok()?,
        incarnation: Incarnation::new(update.incarnation),
        update_number: update.news_number,
        state: core_state(update.state())?,
        addresses,
        availability_zone,
        config_version: ConfigVersion::new(update.config_version),
        load_permille: update.load_permille,
    })
}

/// Returns the wire form of a member's state.
pub(crate) fn wire_state(state: MemberState) -> WireState {
    match state {
        MemberState::Alive => WireState::Alive,
        MemberState::Draining => WireState::Draining,
        MemberState::Suspect => WireState::Suspect,
        MemberState::Dead => WireState::Dead,
        MemberState::Left => WireState::Left,
    }
}

fn core_state(state: WireState) -> Option<MemberState> {
    match state {
        WireState::Unspecified => None,
        WireState::Alive => Some(MemberState::Alive),
        WireState::Draining => Some(MemberState::Draining),
        WireState::Suspect => Some(MemberState::Suspect),
        WireState::Dead => Some(MemberState::Dead),
        WireState::Left => Some(MemberState::Left),
    }
}
