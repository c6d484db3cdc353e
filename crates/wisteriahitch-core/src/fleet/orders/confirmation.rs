//! Confirmation of orders by endpoint reports.

use serde::Serialize;
use wisteriahitch_types::TimeUs;

use super::{EndpointOrder, EndpointReport};

/// An order that is waiting for reports that confirm its effect.
///
/// An endpoint that ignores fencing numbers may execute an older order after this one. A single
/// report could fall between the two, so several different reports in a row must confirm the order.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Confirmation {
    pub(super) order: EndpointOrder,
    pub(super) started_at_us: TimeUs,
    /// Whether the endpoint has answered the order; earlier reports do not count.
    pub(super) is_answered: bool,
    #[serde(rename = "agreeing")]
    consecutive_confirmations: u32,
    /// `made_at_ms` of the last recorded report.
    last_made_at_ms: Option<u64>,
}

impl Confirmation {
    pub(super) fn new(order: EndpointOrder, now: TimeUs) -> Self {
        Self {
            order,
            started_at_us: now,
            is_answered: false,
            consecutive_confirmations: 0,
            last_made_at_ms: None,
        }
    }

    /// Records a report and returns whether enough reports have confirmed the order. A report with
    /// the same `made_at_ms` as the last one is ignored.
    pub(super) fn record_report(&mut self, report: &EndpointReport, required_reports: u32) -> bool {
        if !self.is_answered || self.last_made_at_ms == Some(report.made_at_ms) {
            return false;
        }
        self.last_made_at_ms = Some(report.made_at_ms);
        self.consecutive_confirmations = match is_done(&self.order, report) {
            true => self.consecutive_confirmations + 1,
            false => 0,
        };
        self.consecutive_confirmations >= required_reports
    }
}

/// Returns whether a report shows the effect of an order.
pub(super) fn is_done(order: &EndpointOrder, report: &EndpointReport) -> bool {
    match order {
        EndpointOrder::LoadModel {
            model,
            weight_version,
        } => report
            .model(model)
            .is_some_and(|m| m.is_ready && m.weight_version == *weight_version),
        EndpointOrder::UnloadModel { model } => report.model(model).is_none(),
        EndpointOrder::LoadAdapter { model, adapter } => report
            .model(model)
            .is_some_and(|m| m.adapters.contains(adapter)),
        EndpointOrder::UnloadAdapter { model, adapter } => report
            .model(model)
            .is_none_or(|m| !m.adapters.contains(adapter)),
        EndpointOrder::SetRole { role } => report.role == *role,
    }
}
