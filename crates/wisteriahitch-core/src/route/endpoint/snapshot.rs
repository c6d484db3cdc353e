//! The endpoint table in a form for the dump.

use serde::Serialize;
use wisteriahitch_types::{AvailabilityZone, EndpointId, ServiceName, TimeUs, TokenCount};

use super::{EndpointLoad, EndpointRecord, EndpointState, EndpointTable, Slowness};

/// Shows what is known of one endpoint.
#[derive(Clone, Debug, Serialize)]
pub struct EndpointSnapshot {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Service.
    pub service: ServiceName,
    /// Availability zone.
    pub availability_zone: AvailabilityZone,
    /// Step of life.
    pub state: EndpointState,
    /// Last report.
    pub report: Option<EndpointLoad>,
    /// When the last report came.
    pub reported_at_us: Option<TimeUs>,
    /// Requests that run or wait there, corrected.
    pub requests: u64,
    /// Prompt tokens that wait there, corrected.
    pub queued_tokens: TokenCount,
    /// Attempts of this daemon under way there.
    pub in_flight: u64,
    /// Failures since the last success.
    pub failures_in_row: u32,
    /// How slow its first tokens are.
    pub slowness: Slowness,
    /// When the ejection ends.
    pub ejected_until_us: Option<TimeUs>,
    /// Whether one request at a time probes it.
    pub is_probing: bool,
}

impl EndpointTable {
    /// Shows every endpoint in the order of the names.
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
        report: record.report.as_ref().map(|received| received.load.clone()),
        reported_at_us: record
            .report
            .as_ref()
            .map(|received| received.received_at_us),
        requests: record.estimated_requests(),
        queued_tokens: record.estimated_queued_tokens(),
        in_flight: record.in_flight,
        failures_in_row: record.outlier.failures_in_row,
        slowness: record.outlier.slowness,
        ejected_until_us: record.outlier.ejected_until_us,
        is_probing: record.outlier.is_probing,
    }
}
