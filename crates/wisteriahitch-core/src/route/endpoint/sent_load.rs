//! Correction of a lagging load report by this daemon's own requests since it was made.

use std::collections::VecDeque;

use serde::Serialize;
use wisteriahitch_types::TimeUs;

/// Maximum number of changes that are kept separately; the oldest are merged, which bounds the
/// memory while reports are missing.
const MAX_LOAD_CHANGES: usize = 1024;

/// One change of an endpoint's load by this daemon.
#[derive(Clone, Copy, Debug, Serialize)]
struct LoadChange {
    /// When the change was made.
    at_us: TimeUs,
    /// Change of the number of requests.
    requests: i64,
    /// Change of the number of queued prompt tokens.
    tokens: i64,
}

/// This daemon's own changes to an endpoint's load since its last report was made.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct SentLoad {
    changes: VecDeque<LoadChange>,
    requests: i64,
    tokens: i64,
}

impl SentLoad {
    /// Adds a change made at `now`.
    pub(crate) fn add(&mut self, requests: i64, tokens: i64, now: TimeUs) {
        self.requests += requests;
        self.tokens += tokens;
        self.changes.push_back(LoadChange {
            at_us: now,
            requests,
            tokens,
        });
        if self.changes.len() > MAX_LOAD_CHANGES {
            self.merge_oldest();
        }
    }

    /// Drops the changes that a report made at `made_at` already includes.
    pub(crate) fn drop_before(&mut self, made_at: TimeUs) {
        while let Some(oldest) = self.changes.front() {
            if oldest.at_us >= made_at {
                break;
            }
            self.requests -= oldest.requests;
            self.tokens -= oldest.tokens;
            self.changes.pop_front();
        }
    }

    /// Drops all changes, because the endpoint restarted.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the `reported` requests plus the changes since the report.
    pub(crate) fn correct_requests(&self, reported: u64) -> u64 {
        reported.saturating_add_signed(self.requests)
    }

    /// Returns the `reported` prompt tokens plus the changes since the report.
    pub(crate) fn correct_tokens(&self, reported: u64) -> u64 {
        reported.saturating_add_signed(self.tokens)
    }

    fn merge_oldest(&mut self) {
        let Some(oldest) = self.changes.pop_front() else {
            return;
        };
        if let Some(next) = self.changes.front_mut() {
            next.requests += oldest.requests;
            next.tokens += oldest.tokens;
        }
    }
}
