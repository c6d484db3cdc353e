//! Converts membership news between the core's types and the wire messages.

use std::net::SocketAddr;

use bytes::Bytes;
use wisteriahitch_core::fleet::{MemberAddresses, MemberState, MembershipUpdate};
use wisteriahitch_peer::{MemberNews, MemberState as WireState, decode_address, encode_address};
use wisteriahitch_types::{ConfigVersion, Incarnation};

/// Converts news to its message.
pub(crate) fn to_wire(news: &MembershipUpdate) -> MemberNews {
    let address = |pick: fn(&MemberAddresses) -> SocketAddr| {
        let picked = news.addresses.as_ref().map(pick);
        picked.map_or_else(Bytes::new, encode_address)
    };
    MemberNews {
        daemon_id: news.daemon.to_string(),
        incarnation: news.incarnation.get(),
        news_number: news.update_number,
        state: wire_state(news.state).into(),
        caller_address: address(|addresses| addresses.caller),
        peer_address: address(|addresses| addresses.peer),
        operator_address: address(|addresses| addresses.operator),
        availability_zone: news
            .availability_zone
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
        config_version: news.config_version.get(),
        load_permille: news.load_permille,
    }
}

/// Converts the news of a message; malformed items are skipped.
pub(crate) fn from_wire(news: &[MemberNews]) -> Vec<MembershipUpdate> {
    news.iter().filter_map(try_from_wire).collect()
}

/// Maximum news number or configuration version accepted from a peer. Incrementing from here can't
/// overflow a `u64` in practice.
const MAX_PEER_NUMBER: u64 = 1 << 62;

/// Converts one item of news; `None` if it violates the protocol.
///
/// The numbers are bounded because the daemon increments them: it refutes wrong news about itself
/// with the next number. If a faulty peer could send the largest number, the daemon would stop
/// there, and with it every task that reads the members.
fn try_from_wire(news: &MemberNews) -> Option<MembershipUpdate> {
    if news.news_number > MAX_PEER_NUMBER || news.config_version > MAX_PEER_NUMBER {
        return None;
    }
    let addresses = match news.omits_addresses() {
        true => None,
        false => Some(MemberAddresses {
            caller: decode_address(&news.caller_address).ok()?,
            peer: decode_address(&news.peer_address).ok()?,
            operator: decode_address(&news.operator_address).ok()?,
        }),
    };
    let availability_zone = match addresses {
        Some(_) => Some(news.availability_zone.parse().ok()?),
        None => None,
    };
    Some(MembershipUpdate {
        daemon: news.daemon_id.parse().ok()?,
        incarnation: Incarnation::new(news.incarnation),
        update_number: news.news_number,
        state: core_state(news.state())?,
        addresses,
        availability_zone,
        config_version: ConfigVersion::new(news.config_version),
        load_permille: news.load_permille,
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
