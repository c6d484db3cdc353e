//! What daemons tell each other of requests under which endpoints crash.

use std::collections::HashMap;

use wisteriahitch_types::{DurationUs, TimeUs};

use super::gossip_message::{BlockedUpdate, CrashUpdate, RequestUpdate};
use super::recent_updates::TOLD_FOR_US;
use super::suspects::{Blocked, CrashVerdict, RequestChanges, Suspect, SuspectTable};
use crate::site::RequestFingerprint;

/// Most crashes in a message; the most suspect requests go first.
const MAX_CRASHES_TOLD: usize = 48;

/// Messages of which one names the blocked requests again. A daemon that starts, or was cut off, hears of them within a
/// second from each hub on the way; in every message 32 of them would cost a fleet of twelve 50 KB a second.
const REMIND_EVERY: u64 = 5;

/// Most blocked requests in a message; messages take turns with more.
const MAX_BLOCKED_TOLD: usize = 32;

/// Returns how much a crash matters to the others: as many as its request has seen. Those of a blocked one are told
/// with the block.
pub(super) fn weight(suspects: &HashMap<RequestFingerprint, Suspect>, news: &CrashUpdate) -> usize {
    let suspect = suspects.get(&news.request);
    suspect.map_or(0, |suspect| suspect.crashes.len())
}

impl SuspectTable {
    /// Returns what to tell the others in the message with this number.
    pub fn news(&mut self, number: u64, now: TimeUs) -> RequestUpdate {
        RequestUpdate {
            crashes: self.crashes_to_tell(now),
            blocked: self.blocked_to_tell(number, now),
            cleared: self.fresh_cleared.told_at(now).collect(),
            lifted: self.fresh_lifted.told_at(now).collect(),
        }
    }

    fn crashes_to_tell(&mut self, now: TimeUs) -> Vec<CrashUpdate> {
        let mut crashes: Vec<CrashUpdate> = self.fresh_crashes.told_at(now).collect();
        crashes.sort_by_key(|news| std::cmp::Reverse(weight(&self.suspects, news)));
        crashes.truncate(MAX_CRASHES_TOLD);
        crashes
    }

    fn blocked_to_tell(&self, number: u64, now: TimeUs) -> Vec<BlockedUpdate> {
        let is_reminder = number.is_multiple_of(REMIND_EVERY);
        let is_told =
            |blocked: &Blocked| is_reminder || now.since(blocked.learnt_at_us) < TOLD_FOR_US;
        let told = self.blocked.iter().filter(|(_, b)| is_told(b));
        let mut blocked: Vec<_> = told.collect();
        let pages = blocked.len().div_ceil(MAX_BLOCKED_TOLD).max(1);
        let page = usize::try_from(number / REMIND_EVERY).unwrap_or(0) % pages;
        blocked.sort_by_key(|(request, _)| **request);
        let told = blocked
            .into_iter()
            .skip(page * MAX_BLOCKED_TOLD)
            .take(MAX_BLOCKED_TOLD);
        let news = |(request, blocked): (&RequestFingerprint, &Blocked)| BlockedUpdate {
            request: *request,
            absent_ms: now.since(blocked.last_came_at_us).as_ms(),
        };
        told.map(news).collect()
    }

    /// Takes over what another daemon tells.
    pub fn told(&mut self, news: &RequestUpdate, now: TimeUs) -> RequestChanges {
        let mut changes = RequestChanges::default();
        for request in &news.cleared {
            if self.told_cleared(*request, now) {
                changes.unblocked.push(*request);
            }
        }
        for request in &news.lifted {
            let is_known = self.lifted.contains_key(request);
            if !is_known && self.lift(*request, now) {
                changes.unblocked.push(*request);
            }
        }
        for crash in &news.crashes {
            let verdict = self.crashed(crash.request, crash.endpoint, false, now);
            if let CrashVerdict::Blocked { is_own } = verdict {
                changes.blocked.push((crash.request, is_own));
            }
        }
        for blocked in &news.blocked {
            if self.told_blocked(*blocked, now) {
                changes.blocked.push((blocked.request, false));
            }
        }
        changes
    }

    /// Takes over that a request was answered, and returns whether that ends a block.
    fn told_cleared(&mut self, request: RequestFingerprint, now: TimeUs) -> bool {
        let is_known = self.suspects.contains_key(&request) || self.is_blocked(request);
        is_known && self.answered(request, now)
    }

    fn told_blocked(&mut self, news: BlockedUpdate, now: TimeUs) -> bool {
        let came_at_us = now
            .get()
            .saturating_sub(DurationUs::from_ms(news.absent_ms).get());
        let came_at_us = TimeUs::new(came_at_us);
        if let Some(known) = self.blocked.get_mut(&news.request) {
            known.last_came_at_us = known.last_came_at_us.max(came_at_us);
            return false;
        }
        if self.is_cleared(news.request, now) {
            self.fresh_cleared.add(news.request, now);
            return false;
        }
        if self.lifted.contains_key(&news.request) {
            self.fresh_lifted.add(news.request, now);
            return false;
        }
        self.block(news.request, came_at_us, now);
        true
    }
}
