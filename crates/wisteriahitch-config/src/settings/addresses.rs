//! Checks of the addresses that a daemon listens on and connects to.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use wisteriahitch_types::Code;

use super::{ListenSettings, Settings};
use crate::read::{Located, Location, TableReader};

/// Reports addresses to connect to that are the daemon's own.
pub(super) fn check_own_addresses(top: &TableReader<'_, '_>, settings: &Settings) {
    let ListenSettings {
        callers,
        peers,
        operators,
    } = settings.listen;
    for address in &settings.platform.addresses {
        if [callers, peers, operators].contains(address) {
            let message = format!("the address {address} is this daemon's own");
            add_problem_in(
                top,
                "platform",
                "addresses",
                Code::ConfigDuplicateName,
                message,
            );
        }
    }
    // The seeds may include the daemon's own peer address, so that all daemons can share one list.
    for address in &settings.peers.seeds {
        if [callers, operators].contains(address) {
            let message = format!("{address} is this daemon's own address, but not for peers");
            add_problem_in(top, "peers", "seeds", Code::ConfigContradiction, message);
        }
    }
}

fn add_problem_in(top: &TableReader<'_, '_>, table: &str, key: &str, code: Code, message: String) {
    if let Some(table) = top.peek_table(table) {
        table.add_problem(code, key, message);
    }
}

/// Checks that the addresses a daemon listens on are distinct and that others can connect to them.
pub(super) fn check_listen_addresses(
    table: &TableReader<'_, '_>,
    found: [&Option<Located<SocketAddr>>; 3],
) {
    let mut first: BTreeMap<SocketAddr, &Location> = BTreeMap::new();
    for Located { value, location } in found.into_iter().flatten() {
        check_connectable(table, *value, location);
        if let Some(earlier) = first.insert(*value, location) {
            let message = format!("the address {value} is given before, at {}", earlier.path);
            table
                .log()
                .add(Code::ConfigDuplicateName, location, message);
        }
    }
}

/// Reports an unspecified address or port 0. The daemon publishes its listen addresses to callers
/// and peers, who could not connect to such an address.
fn check_connectable(table: &TableReader<'_, '_>, address: SocketAddr, location: &Location) {
    if address.ip().is_unspecified() || address.port() == 0 {
        let message = format!("{address} is not an address that others can connect to");
        table.log().add(Code::ConfigBadValue, location, message);
    }
}

/// Checks that addresses can be connected to, and returns them without their locations.
pub(super) fn checked_addresses(
    table: &TableReader<'_, '_>,
    found: Vec<Located<SocketAddr>>,
) -> Vec<SocketAddr> {
    let checked = |Located { value, location }| {
        check_connectable(table, value, &location);
        value
    };
    found.into_iter().map(checked).collect()
}
