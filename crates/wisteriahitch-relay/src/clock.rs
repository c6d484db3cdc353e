//! The clock that all decisions use.

use nix::sys::time::TimeValLike;
use nix::time::{ClockId, clock_gettime};
use wisteriahitch_types::{DurationUs, TimeUs};

/// Measures the time since the VM booted, including the time during which it was suspended.
///
/// A monotonic clock stops while a VM is suspended. A lease or permit checked against it would
/// still look valid after the VM resumes, although other daemons took over long ago, and two lease
/// holders would give orders. This clock (`CLOCK_BOOTTIME`) keeps running.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// Returns the current time.
    pub fn now(self) -> TimeUs {
        match clock_gettime(ClockId::CLOCK_BOOTTIME) {
            Ok(time) => TimeUs::new(u64::try_from(time.num_microseconds()).unwrap_or(0)),
            // Every kernel that the daemon supports has this clock. Time zero is the safe fallback,
            // because every lease then counts as expired.
            Err(_) => TimeUs::ZERO,
        }
    }

    /// Returns the time elapsed since `earlier`.
    pub fn since(self, earlier: TimeUs) -> DurationUs {
        self.now().since(earlier)
    }
}
