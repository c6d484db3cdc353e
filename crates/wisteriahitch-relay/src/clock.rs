//! The clock that the decisions see.

use nix::sys::time::TimeValLike;
use nix::time::{ClockId, clock_gettime};
use wisteriahitch_types::{DurationUs, TimeUs};

/// Tells the time since the VM started, the time that it was suspended included.
///
/// The usual steady clock stands still while a VM is suspended. A lease or a permission that was
/// checked against it would look fresh after the VM wakes, although others have long taken over;
/// one would notice by orders of two holders. This clock goes on.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// Returns the time now.
    pub fn now(self) -> TimeUs {
        match clock_gettime(ClockId::CLOCK_BOOTTIME) {
            Ok(time) => TimeUs::new(u64::try_from(time.num_microseconds()).unwrap_or(0)),
            // The kernel has had this clock for longer than any that the daemon runs on; a time
            // of zero lets every lease count as expired, which is the safe side.
            Err(_) => TimeUs::ZERO,
        }
    }

    /// Returns the span since `earlier`.
    pub fn since(self, earlier: TimeUs) -> DurationUs {
        self.now().since(earlier)
    }
}
