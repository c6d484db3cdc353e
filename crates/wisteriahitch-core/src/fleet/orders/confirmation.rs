//! Whether an order has done what it was to do.

use serde::Serialize;
use wisteriahitch_types::TimeUs;

use super::{EndpointOrder, EndpointReport};

/// Follows one order until reports show its effect.
///
/// An endpoint that ignores fencing numbers may run an older order after this one. One report
/// could fall between the two; so two different reports in a row must agree.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Confirmation {
    pub(super) order: EndpointOrder,
    pub(super) started_at_us: TimeUs,
    /// Whether the endpoint has answered; reports from before don't count.
    pub(super) is_answered: bool,
    agreeing: u32,
    last_made_at_ms: Option<u64>,
}

impl Confirmation {
    pub(super) fn new(order: EndpointOrder, now: TimeUs) -> Self {
        Self {
            order,
            started_at_us: now,
            is_answered: false,
            agreeing: 0,
            last_made_at_ms: None,
        }
    }

    /// Takes a report over and returns whether enough have agreed.
    pub(super) fn take(&mut self, report: &EndpointReport, wanted_reads: u32) -> bool {
        if !self.is_answered || self.last_made_at_ms == Some(report.made_at_ms) {
            return false;
        }
        self.last_made_at_ms = Some(report.made_at_ms);
        self.agreeing = match is_done(&self.order, report) {
            true => self.agreeing + 1,
            false => 0,
        };
        self.agreeing >= wanted_reads
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
