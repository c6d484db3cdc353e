//! Checks of the addresses that a daemon serves and calls.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use wisteriahitch_types::Code;

use super::{ListenSettings, Settings};
use crate::read::{Place, Placed, TableReader};

/// Checks the daemon's own addresses against those that it is to call.
pub(super) fn check_own(top: &TableReader<'_, '_>, settings: &Settings) {
    let ListenSettings {
        callers,
        peers,
        operators,
    } = settings.listen;
    for address in &settings.platform.addresses {
        if [callers, peers, operators].contains(address) {
            let message = format!("the address {address} is this daemon's own");
            fault_in(
                top,
                "platform",
                "addresses",
                Code::ConfigDuplicateName,
                message,
            );
        }
    }
    // A list of seeds may hold the daemon's own peer address, so that all daemons share one list.
    for address in &settings.peers.seeds {
        if [callers, operators].contains(address) {
            let message = format!("{address} is this daemon's own address, but not for peers");
            fault_in(top, "peers", "seeds", Code::ConfigContradiction, message);
        }
    }
}

fn fault_in(top: &TableReader<'_, '_>, table: &str, key: &str, code: Code, message: String) {
    if let Some(table) = top.peek_table(table) {
        table.fault(code, key, message);
    }
}

/// Checks that the addresses a daemon serves differ and can be reached.
pub(super) fn check_distinct(table: &TableReader<'_, '_>, found: [&Option<Placed<SocketAddr>>; 3]) {
    let mut first: BTreeMap<SocketAddr, &Place> = BTreeMap::new();
    for Placed { value, place } in found.into_iter().flatten() {
        check_reachable(table, *value, place);
        if let Some(earlier) = first.insert(*value, place) {
            let message = format!("the address {value} is given before, at {}", earlier.path);
            table.log().add(Code::ConfigDuplicateName, place, message);
        }
    }
}

/// Callers and peers are told the address that a daemon serves, so one that only the daemon itself
/// can use (every address, or any free port) would send them nowhere.
fn check_reachable(table: &TableReader<'_, '_>, address: SocketAddr, place: &Place) {
    if address.ip().is_unspecified() || address.port() == 0 {
        let message = format!("{address} is not an address that others can connect to");
        table.log().add(Code::ConfigBadValue, place, message);
    }
}

/// Returns addresses of others without their places, once they are checked.
pub(super) fn plain_addresses(
    table: &TableReader<'_, '_>,
    found: Vec<Placed<SocketAddr>>,
) -> Vec<SocketAddr> {
    let checked = |Placed { value, place }| {
        check_reachable(table, value, &place);
        value
    };
    found.into_iter().map(checked).collect()
}
