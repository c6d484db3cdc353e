//! Reads `[[stores]]`.

use std::net::SocketAddr;

use wisteriahitch_types::{AvailabilityZone, ByteCount, ByteRate, Code};

use super::Draft;
use crate::Store;
use crate::read::{Located, TableReader};

/// Largest integer that the platform's JSON represents exactly: 2^53, the limit of a double.
pub(super) const MAX_EXACT_JSON_INTEGER: u64 = 1 << 53;

pub(super) fn read_all(top: &TableReader<'_, '_>, draft: &mut Draft) {
    for table in top.tables("stores") {
        let store = read(&table, draft);
        draft.stores.extend(store);
        table.finish();
    }
}

fn read(table: &TableReader<'_, '_>, draft: &mut Draft) -> Option<Store> {
    let id = table.required_located("id");
    draft.defined.stores.extend(id.clone());
    let address = read_address(table, draft);
    let zone = read_zone(table, draft);
    let link_rate = table.required_number("link_rate_bytes_per_s", 1..=MAX_EXACT_JSON_INTEGER);
    let memory = table
        .number("memory_bytes", 0..=MAX_EXACT_JSON_INTEGER)
        .unwrap_or(0);
    let disk = table
        .number("disk_bytes", 0..=MAX_EXACT_JSON_INTEGER)
        .unwrap_or(0);
    if memory == 0 && disk == 0 {
        let message = "the store has room neither in memory nor on disk";
        table
            .log()
            .add(Code::ConfigContradiction, table.location(), message);
    }
    Some(Store {
        id: id?.value,
        address: address?,
        availability_zone: zone?,
        link_rate_bytes_per_s: ByteRate::new(link_rate?),
        memory_bytes: ByteCount::new(memory),
        disk_bytes: ByteCount::new(disk),
    })
}

/// Reads the address of an endpoint or store VM, which must be one that can be connected to.
pub(super) fn read_address(table: &TableReader<'_, '_>, draft: &mut Draft) -> Option<SocketAddr> {
    let address: Located<SocketAddr> = table.required_located("address")?;
    let value = address.value;
    if value.ip().is_unspecified() || value.port() == 0 {
        let message = format!("{value} is not an address that can be connected to");
        table.add_problem(Code::ConfigBadValue, "address", message);
        return None;
    }
    draft.defined.addresses.push(address);
    Some(value)
}

/// Reads the availability zone of an endpoint or store VM.
pub(super) fn read_zone(
    table: &TableReader<'_, '_>,
    draft: &mut Draft,
) -> Option<AvailabilityZone> {
    let zone: Located<AvailabilityZone> = table.required_located("availability_zone")?;
    draft.endpoint_and_store_zones.push(zone.clone());
    Some(zone.value)
}
