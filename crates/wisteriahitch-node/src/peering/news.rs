//! Membership news between the core's form and the message's.

use std::net::SocketAddr;

use bytes::Bytes;
use wisteriahitch_core::fleet::{MemberAddresses, MemberState, News};
use wisteriahitch_peer::{MemberNews, MemberState as WireState, decode_address, encode_address};
use wisteriahitch_types::{ConfigVersion, Incarnation};

/// Renders news for a message.
pub(crate) fn to_wire(news: &News) -> MemberNews {
    let address = |pick: fn(&MemberAddresses) -> SocketAddr| {
        let picked = news.addresses.as_ref().map(pick);
        picked.map_or_else(Bytes::new, encode_address)
    };
    MemberNews {
        daemon_id: news.daemon.to_string(),
        incarnation: news.incarnation.get(),
        news_number: news.news_number,
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

/// Reads the news of a message; a piece that doesn't parse is left out.
pub(crate) fn from_wire(news: &[MemberNews]) -> Vec<News> {
    news.iter().filter_map(try_from_wire).collect()
}

/// Highest number that news may carry; counting on from it never reaches the end of its type.
const MAX_NUMBER: u64 = 1 << 62;

/// Takes one item of news; nothing where it breaks the protocol.
///
/// Its numbers are counted on from: a daemon answers a wrong belief about itself with the next
/// number. One broken peer that tells the largest number would stop it doing so, and with it every
/// task that looks at the members.
fn try_from_wire(news: &MemberNews) -> Option<News> {
    if news.news_number > MAX_NUMBER || news.config_version > MAX_NUMBER {
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
    Some(News {
        daemon: news.daemon_id.parse().ok()?,
        incarnation: Incarnation::new(news.incarnation),
        news_number: news.news_number,
        state: core_state(news.state())?,
        addresses,
        availability_zone,
        config_version: ConfigVersion::new(news.config_version),
        load_permille: news.load_permille,
    })
}

/// Returns the message's name of a state.
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
