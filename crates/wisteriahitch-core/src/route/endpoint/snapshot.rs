//! Snapshot of the endpoint table for the operators' dump.

use serde::Serialize;
use wisteriahitch_types::{AvailabilityZone, EndpointId, ServiceName, TimeUs, TokenCount};

use super::{EndpointLoad, EndpointRecord, EndpointState, EndpointTable, Slowness};

/// Everything an operator sees of one endpoint.
#[derive(Clone, Debug, Serialize)]
pub struct EndpointSnapshot {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Availability zone that it runs in.
    pub availability_zone: AvailabilityZone,
    /// State of the endpoint.
    pub state: EndpointState,
    /// Last report; `None` before the first.
    pub report: Option<EndpointLoad>,
    /// When the last report arrived.
    pub reported_at_us: Option<TimeUs>,
    /// Running and queued requests, with this daemon's changes since the report.
    pub requests: u64,
    /// Queued prompt tokens, with this daemon's changes since the report.
    pub queued_tokens: TokenCount,
    /// Number of this daemon's unfinished attempts.
    pub in_flight: u64,
    /// Consecutive failures since the last success.
    pub failures_in_row: u32,
    /// Moving means of how late its first tokens are.
    pub slowness: Slowness,
    /// End of the ejection; `None` if the endpoint isn't ejected.
    pub ejected_until_us: Option<TimeUs>,
    /// Whether it gets one request at a time after an ejection.
    pub is_probing: bool,
}

impl EndpointTable {
    /// Returns a snapshot of every endpoint, ordered by id.
    pub fn snapshot(&self) -> Vec<EndpointSnapshot> {
        let mut rows: Vec<EndpointSnapshot> = self
            .by_id
            .values()
            .map(|row| row_snapshot(&self.rows[*row]))
            .collect();
        rows.sort_by(|a, b| a.endpoint.cmp(&b.endpoint));
        rows
    }
}

fn row_snapshot(record: &EndpointRecord) -> EndpointSnapshot {
    EndpointSnapshot {
        endpoint: record.id.clone(),
        service: record.service.clone(),
        availability_zone: record.availability_zone.clone(),
        state: record.state(),
        report: record.report.as_ref().map(|report| report.load.clone()),
        reported_at_us: record.report.as_ref().map(|report| report.received_at_us),
        requests: record.estimated_requests(),
        queued_tokens: record.estimated_queued_tokens(),
        in_flight: record.in_flight,
        failures_in_row: record.outlier.failures_in_row,
        slowness: record.outlier.slowness,
        ejected_until_us: record.outlier.ejected_until_us,
        is_probing: record.outlier.is_probing,
    }
}
