//! Corrects a lagging load report by what this daemon has done since the report was made.

use std::collections::VecDeque;

use serde::Serialize;
use wisteriahitch_types::TimeUs;

/// Most changes that are kept apart; older ones are merged so that memory stays bounded while
/// reports are missing.
const MAX_LOAD_CHANGES: usize = 1024;

#[derive(Clone, Copy, Debug, Serialize)]
struct LoadChange {
    at_us: TimeUs,
    requests: i64,
    tokens: i64,
}

/// Sums this daemon's own changes to an endpoint's load since its last report was made.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct SentLoad {
    changes: VecDeque<LoadChange>,
    requests: i64,
    tokens: i64,
}

impl SentLoad {
    /// Adds a change at `now`.
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

    /// Drops the changes that a report made at `made_at` already contains.
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

    /// Drops every change, because the endpoint started again.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns `reported` requests with the changes since.
    pub(crate) fn correct_requests(&self, reported: u64) -> u64 {
        reported.saturating_add_signed(self.requests)
    }

    /// Returns `reported` prompt tokens with the changes since.
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
