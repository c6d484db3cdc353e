//! What the endpoints of a service can do, and how far behind they are.
//!
//! Load pattern: endpoints come and go while callers ask for more than is left. The backlog shows
//! whether calls wait, whatever the endpoints' speed.

use wisteriahitch_types::{DurationUs, ServiceName, TimeUs};

use super::call_work::WorkRates;
use super::endpoint_row::EndpointRow;
use super::endpoint_table::EndpointTable;
use super::work_shares::ServiceCapacity;
use crate::site::EngineSpec;

/// Work that an engine, or one slot of another endpoint, does in a second, in milliseconds.
const WORK_MS_PER_S: f64 = 1_000.0;

/// Returns the capacity of a service, without the backlog that is wanted. `duration_us` is the recent
/// mean time of its calls.
///
/// Work is counted in milliseconds of an engine, or of a slot where an endpoint is no engine.
pub fn service_capacity(
    table: &EndpointTable,
    service: &ServiceName,
    engine: Option<&EngineSpec>,
    rates: &WorkRates,
    duration_us: DurationUs,
    now: TimeUs,
) -> ServiceCapacity {
    let duration_ms = duration_us.as_secs_f64() * 1_000.0;
    let (mut work_ms_per_s, mut backlog_ms, mut count) = (0.0, 0.0, 0.0_f64);
    for row in table.iter().filter(|row| is_ready(row, service)) {
        count += 1.0;
        // An endpoint that takes four times as long does a fourth of the work.
        let factor = row.work_factor(now).max(f64::MIN_POSITIVE);
        let slots = match engine {
            Some(_) => 1.0,
            None => f64::from(row.endpoint.slots.max(1)),
        };
        work_ms_per_s += WORK_MS_PER_S * slots / factor;
        backlog_ms += row_backlog_ms(row, engine, rates, duration_ms) * factor;
    }
    ServiceCapacity {
        work_ms_per_s,
        backlog_ms: backlog_ms / count.max(1.0),
        wanted_backlog_ms: 0.0,
    }
}

fn is_ready(row: &EndpointRow, service: &ServiceName) -> bool {
    row.endpoint.service == *service && row.accepts_requests()
}

/// Returns the time until an endpoint could begin another call.
fn row_backlog_ms(
    row: &EndpointRow,
    engine: Option<&EngineSpec>,
    rates: &WorkRates,
    duration_ms: f64,
) -> f64 {
    let load = row.load();
    let slots = engine.map_or(row.endpoint.slots, |engine| engine.slots);
    let slots = f64::from(slots.max(1));
    let waiting = (f64::from(load.running) - slots).max(0.0);
    let slot_ms = waiting / slots * duration_ms;
    match engine {
        Some(_) => {
            let read_ms =
                load.unread_tokens as f64 / rates.read_tokens_per_ms.max(f64::MIN_POSITIVE);
            let write_ms = f64::from(load.running) * rates.written_token_ms;
            slot_ms + read_ms + write_ms
        }
        None => slot_ms,
    }
}
