//! The rate of calls that an endpoint names for itself.

use wisteriahitch_types::{CallRate, TimeUs};

/// What an endpoint last said of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitNotice {
    /// Calls that it takes from all daemons together; none where it names no limit any more.
    pub rate: Option<CallRate>,
    /// When its answer came.
    pub heard_at_us: TimeUs,
}

/// What one daemon knows of the limit of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct NamedLimit {
    notice: Option<LimitNotice>,
}

impl NamedLimit {
    /// Returns what the endpoint last said, if it has ever named a limit.
    pub fn notice(&self) -> Option<LimitNotice> {
        self.notice
    }

    /// Returns the rate that it names.
    pub fn rate(&self) -> Option<CallRate> {
        self.notice.and_then(|notice| notice.rate)
    }

    /// Returns how long ago the endpoint last said something of its limit.
    pub fn heard_ms_ago(&self, now: TimeUs) -> Option<u64> {
        let notice = self.notice?;
        Some(now.since(notice.heard_at_us).as_ms())
    }

    /// Takes over what an answer says, and returns whether the rate has changed.
    pub(super) fn heard(&mut self, rate: Option<CallRate>, now: TimeUs) -> bool {
        if rate.is_none() && self.notice.is_none() {
            return false;
        }
        let before = self.rate();
        self.notice = Some(LimitNotice {
            rate,
            heard_at_us: now,
        });
        before != rate
    }
}
