//! Retry time of refusals after a failed attempt.

use wisteriahitch_types::DurationUs;

/// `retry-after` for a request whose endpoint failed. By then another endpoint is available or all
/// daemons have noticed the failure.
pub(super) const RETRY_AFTER_US: DurationUs = DurationUs::from_ms(500);
