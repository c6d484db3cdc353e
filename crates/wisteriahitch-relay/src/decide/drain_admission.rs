//! Which calls a daemon that is about to exit still takes.
//!
//! Load pattern: callers use an entry list for seconds after the daemon has got its signal, the
//! last of them on connections that they keep open. A call that its exit cuts off is lost, while one
//! that it refuses goes to another daemon at the cost of one attempt. Callers accept only for calls
//! that they have sent right after the signal that the exit cuts them off.

use wisteriahitch_types::DurationUs;

/// Time after the signal within which a call may be sent and still be cut off by the exit: the platform
/// allows it.
const EXCUSED_US: DurationUs = DurationUs::from_ms(3_000);

/// Allowance for the delivery of the signal and of calls, which both may be late.
const TRANSIT_US: DurationUs = DurationUs::from_ms(500);

/// How long a call may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallDuration {
    /// Time within which it ends in any case: its deadline, or the timeout of its route.
    pub bound_us: DurationUs,
    /// Time within which it probably ends, by the recent calls of its route.
    pub estimate_us: DurationUs,
    /// Expected wait for the work of other calls at its endpoint; zero until the call is placed. The
    /// recent calls say nothing of a queue that has formed since.
    pub queue_us: DurationUs,
}

/// Admission of calls by a daemon that is about to exit.
///
/// ```
/// use wisteriahitch_relay::{CallDuration, DrainAdmission};
/// use wisteriahitch_types::DurationUs;
///
/// let admission = DrainAdmission::new(DurationUs::from_ms(7_600));
/// let call = CallDuration {
///     bound_us: DurationUs::from_ms(15_000),
///     estimate_us: DurationUs::from_ms(1_000),
///     queue_us: DurationUs::ZERO,
/// };
/// assert!(admission.accepts(DurationUs::from_ms(1_000), call));
/// assert!(!admission.accepts(DurationUs::from_ms(3_300), call));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct DrainAdmission {
    exits_after_us: DurationUs,
}

impl DrainAdmission {
    /// Creates the admission of a daemon that exits this long after its signal at the latest.
    pub const fn new(exits_after_us: DurationUs) -> Self {
        Self { exits_after_us }
    }

    /// Returns whether a call that arrives `elapsed_us` after the signal is taken.
    ///
    /// An estimate decides only while the exit may cut a call off. Later, a call must end before the
    /// exit in any case: the next one of a route may take far longer than all recent ones.
    pub fn accepts(&self, elapsed_us: DurationUs, call: CallDuration) -> bool {
        let needed_us = match elapsed_us + TRANSIT_US < EXCUSED_US {
            true => (call.queue_us + call.estimate_us).min(call.bound_us),
            false => call.bound_us,
        };
        elapsed_us + needed_us < self.exits_after_us
    }
}
