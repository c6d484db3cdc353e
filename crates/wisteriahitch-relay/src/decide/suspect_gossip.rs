//! Gossip about requests that endpoints crash under.

use std::collections::HashMap;

use wisteriahitch_types::{DurationUs, TimeUs};

use super::gossip_message::{BlockedUpdate, CrashUpdate, RequestUpdate};
use super::recent_updates::REPEAT_DURATION_US;
use super::suspects::{Blocked, CrashVerdict, RequestChanges, Suspect, SuspectTable};
use crate::site::RequestFingerprint;

/// Maximum number of crashes in a message; those of the most suspect requests go first.
const MAX_CRASHES_PER_MESSAGE: usize = 48;

/// Number of messages of which one repeats the blocked requests. A daemon that starts, or was cut
/// off, thereby receives them within a second from each hub on the way. In every message, 32
/// blocked requests would cost a fleet of twelve daemons 50 KB per second.
const MESSAGES_PER_REMINDER: u64 = 5;

/// Maximum number of blocked requests in a message; more are spread over successive reminders.
const MAX_BLOCKED_PER_MESSAGE: usize = 32;

/// Returns the priority of a crash in gossip: the number of crashes recorded for its request.
/// Crashes of a blocked request have priority 0, since the block itself is sent.
pub(super) fn crash_priority(
    suspects: &HashMap<RequestFingerprint, Suspect>,
    update: &CrashUpdate,
) -> usize {
    let suspect = suspects.get(&update.request);
    suspect.map_or(0, |suspect| suspect.crashes.len())
}

impl SuspectTable {
    /// Returns the update for the gossip message with this sequence number.
    pub fn request_update(&mut self, number: u64, now: TimeUs) -> RequestUpdate {
        RequestUpdate {
            crashes: self.crash_updates(now),
            blocked: self.blocked_updates(number, now),
            cleared: self.recent_cleared.current(now).collect(),
            lifted: self.recent_lifted.current(now).collect(),
        }
    }

    fn crash_updates(&mut self, now: TimeUs) -> Vec<CrashUpdate> {
        let mut crashes: Vec<CrashUpdate> = self.recent_crashes.current(now).collect();
        crashes.sort_by_key(|update| std::cmp::Reverse(crash_priority(&self.suspects, update)));
        crashes.truncate(MAX_CRASHES_PER_MESSAGE);
        crashes
    }

    fn blocked_updates(&self, number: u64, now: TimeUs) -> Vec<BlockedUpdate> {
        let is_reminder = number.is_multiple_of(MESSAGES_PER_REMINDER);
        let is_included = |blocked: &Blocked| {
            is_reminder || now.since(blocked.blocked_at_us) < REPEAT_DURATION_US
        };
        let included = self.blocked.iter().filter(|(_, b)| is_included(b));
        let mut blocked: Vec<_> = included.collect();
        let pages = blocked.len().div_ceil(MAX_BLOCKED_PER_MESSAGE).max(1);
        let page = usize::try_from(number / MESSAGES_PER_REMINDER).unwrap_or(0) % pages;
        blocked.sort_by_key(|(request, _)| **request);
        let included = blocked
            .into_iter()
            .skip(page * MAX_BLOCKED_PER_MESSAGE)
            .take(MAX_BLOCKED_PER_MESSAGE);
        let update = |(request, blocked): (&RequestFingerprint, &Blocked)| BlockedUpdate {
            request: *request,
            absent_ms: now.since(blocked.last_seen_us).as_ms(),
        };
        included.map(update).collect()
    }

    /// Applies the update of another daemon and returns what it changes.
    pub fn apply_peer_update(&mut self, update: &RequestUpdate, now: TimeUs) -> RequestChanges {
        let mut changes = RequestChanges::default();
        for request in &update.cleared {
            if self.apply_cleared(*request, now) {
                changes.unblocked.push(*request);
            }
        }
        for request in &update.lifted {
            let is_known = self.lifted.contains_key(request);
            if !is_known && self.lift_block(*request, now) {
                changes.unblocked.push(*request);
            }
        }
        for crash in &update.crashes {
            let verdict = self.record_request_crash(crash.request, crash.endpoint, false, now);
            if let CrashVerdict::Blocked { is_direct } = verdict {
                changes.blocked.push((crash.request, is_direct));
            }
        }
        for blocked in &update.blocked {
            if self.apply_blocked(*blocked, now) {
                changes.blocked.push((blocked.request, false));
            }
        }
        changes
    }

    /// Records that a request was answered. Returns whether that ends a block.
    fn apply_cleared(&mut self, request: RequestFingerprint, now: TimeUs) -> bool {
        let is_known = self.suspects.contains_key(&request) || self.is_blocked(request);
        is_known && self.record_answer(request, now)
    }

    fn apply_blocked(&mut self, update: BlockedUpdate, now: TimeUs) -> bool {
        let seen_at_us = now
            .get()
            .saturating_sub(DurationUs::from_ms(update.absent_ms).get());
        let seen_at_us = TimeUs::new(seen_at_us);
        if let Some(known) = self.blocked.get_mut(&update.request) {
            known.last_seen_us = known.last_seen_us.max(seen_at_us);
            return false;
        }
        if self.is_cleared(update.request, now) {
            self.recent_cleared.add(update.request, now);
            return false;
        }
        if self.lifted.contains_key(&update.request) {
            self.recent_lifted.add(update.request, now);
            return false;
        }
        self.block(update.request, seen_at_us, now);
        true
    }
}
