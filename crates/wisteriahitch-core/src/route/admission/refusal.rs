//! Refusals with a bounded retry delay.

use wisteriahitch_types::{Code, DurationUs, RequestId};

use super::AdmissionCommand;

/// Minimum retry delay that is returned to a caller.
const MIN_RETRY_AFTER_US: DurationUs = DurationUs::from_ms(100);
/// Maximum retry delay that is returned to a caller.
const MAX_RETRY_AFTER_US: DurationUs = DurationUs::from_ms(60_000);

/// Returns the command that refuses a request, which was not run.
pub(super) fn refuse(request: RequestId, code: Code, after: DurationUs) -> AdmissionCommand {
    AdmissionCommand::Refuse {
        request,
        code,
        retry_after_us: after.clamp(MIN_RETRY_AFTER_US, MAX_RETRY_AFTER_US),
    }
}
