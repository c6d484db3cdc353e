//! Telling a caller to come back later.

use wisteriahitch_types::{Code, DurationUs, RequestId};

use super::AdmissionCommand;

/// Shortest time after which a caller is told to come back.
const MIN_RETRY_AFTER_US: DurationUs = DurationUs::from_ms(100);
/// Longest time after which a caller is told to come back.
const MAX_RETRY_AFTER_US: DurationUs = DurationUs::from_ms(60_000);

/// Refuses a request, which was not run.
pub(super) fn refuse(request: RequestId, code: Code, after: DurationUs) -> AdmissionCommand {
    AdmissionCommand::Refuse {
        request,
        code,
        retry_after_us: after.clamp(MIN_RETRY_AFTER_US, MAX_RETRY_AFTER_US),
    }
}
