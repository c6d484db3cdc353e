//! Logs state changes of endpoints.

use crate::shared::Shared;

/// Logs the endpoints' state changes since the last call.
pub(crate) fn log_state_changes(shared: &Shared) {
    let changes = shared.router.lock().endpoints.drain_state_changes();
    for change in changes {
        log::info!(
            "endpoint {}: {:?} to {:?}",
            change.endpoint,
            change.from,
            change.to
        );
    }
}
