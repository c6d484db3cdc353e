//! Whether an endpoint can be taken out of service to load weights.

use std::collections::BTreeMap;

use wisteriahitch_types::{EndpointId, ModelName, Share};

use super::{DesiredState, EndpointReport};

/// Returns whether the other endpoints can carry the model's current load without this one.
///
/// `busy` are endpoints with unconfirmed orders. They count as not ready even if their reports,
/// which lag, say that they are.
pub(super) fn can_take_out_of_service(
    endpoint: &EndpointId,
    model: &ModelName,
    desired: &DesiredState,
    reports: &BTreeMap<EndpointId, EndpointReport>,
    busy: &[EndpointId],
    min_ready_share: Share,
) -> bool {
    let endpoints_with_model: Vec<&EndpointId> = desired.endpoints_with_model(model).collect();
    let is_ready = |id: &EndpointId| {
        let report = reports.get(id);
        report.is_some_and(|r| r.is_ready_for(model)) && !busy.contains(id)
    };
    if !is_ready(endpoint) {
        return true;
    }
    let others = || endpoints_with_model.iter().filter(|id| **id != endpoint);
    if endpoints_with_model.len() == 1 {
        // A single endpoint cannot be replaced, so it may load only while it is idle.
        return reports.get(endpoint).is_some_and(|r| r.open_requests == 0);
    }
    let ready_others = others().filter(|id| is_ready(id)).count();
    let by_share = (min_ready_share.get() * endpoints_with_model.len() as f64).floor() as usize;
    let needed = by_share
        .max(1)
        .max(endpoints_needed_for_load(&endpoints_with_model, reports));
    ready_others >= needed.min(endpoints_with_model.len() - 1)
}

/// Returns the number of endpoints that the running and queued requests would fill.
fn endpoints_needed_for_load(
    endpoints_with_model: &[&EndpointId],
    reports: &BTreeMap<EndpointId, EndpointReport>,
) -> usize {
    let known = || {
        endpoints_with_model
            .iter()
            .filter_map(|id| reports.get(*id))
    };
    let open: u64 = known().map(|report| report.open_requests).sum();
    let slots: u64 = known().map(|report| report.batch_slots).sum();
    let count = known().count() as u64;
    if slots == 0 || count == 0 {
        return 0;
    }
    (open * count).div_ceil(slots) as usize
}
