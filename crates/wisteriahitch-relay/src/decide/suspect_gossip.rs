//! Gossip about attributes of calls under which endpoints crash.

use std::cmp::Reverse;
use std::collections::HashMap;

use wisteriahitch_types::{DurationUs, TimeUs};

use super::answer_progress::AnswerProgress;
use super::blocked_attributes::Blocked;
use super::gossip_message::{BlockedUpdate, ClearedUpdate, CrashUpdate, SuspectUpdate};
use super::recent_updates::REPEAT_DURATION_US;
use super::suspects::{BlockChanges, Crash, NewBlock, Suspect, SuspectTable};
use crate::site::CallAttribute;

/// Maximum number of crashes in a message; those of the most suspect attributes go first.
const MAX_CRASHES_PER_MESSAGE: usize = 48;

/// Number of messages of which one repeats the blocked attributes. A daemon that starts, or was cut
/// off, thereby receives them within a second from each hub on the way. In every message, 32
/// of them would cost a fleet of twelve daemons 50 KB per second.
const MESSAGES_PER_REMINDER: u64 = 5;

/// Maximum number of blocked attributes in a message; more are spread over successive reminders.
const MAX_BLOCKED_PER_MESSAGE: usize = 32;

/// Returns the priority of a crash in gossip: the number of crashes recorded for its attribute.
/// Crashes of a blocked attribute have priority 0, since the block itself is sent.
pub(super) fn crash_priority(
    suspects: &HashMap<CallAttribute, Suspect>,
    update: &CrashUpdate,
) -> usize {
    let suspect = suspects.get(&update.attribute);
    suspect.map_or(0, Suspect::crash_count)
}

impl SuspectTable {
    /// Returns the update for the gossip message with this sequence number.
    pub fn suspect_update(&mut self, number: u64, now: TimeUs) -> SuspectUpdate {
        let cleared: Vec<CallAttribute> = self.recent_cleared.current(now).collect();
        SuspectUpdate {
            crashes: self.crash_updates(number, now),
            blocked: self.blocked_updates(number, now),
            cleared: self.cleared_updates(&cleared, now),
            lifted: self.recent_lifted.current(now).collect(),
        }
    }

    /// Returns the crashes to send. Those of attributes with several crashes are in each message,
    /// the others take turns: any of them may be a crash of what several daemons will suspect.
    fn crash_updates(&mut self, number: u64, now: TimeUs) -> Vec<CrashUpdate> {
        let crashes: Vec<CrashUpdate> = self.recent_crashes.current(now).collect();
        let priority = |update: &CrashUpdate| crash_priority(&self.suspects, update);
        let (mut repeated, mut single): (Vec<_>, Vec<_>) =
            crashes.into_iter().partition(|update| priority(update) > 1);
        repeated.sort_by_key(|update| Reverse(priority(update)));
        single.retain(|update| priority(update) > 0);
        let room = MAX_CRASHES_PER_MESSAGE.saturating_sub(repeated.len());
        if !single.is_empty() {
            let turn = usize::try_from(number).unwrap_or(0).wrapping_mul(room) % single.len();
            single.rotate_left(turn);
        }
        repeated.extend(single);
        repeated.truncate(MAX_CRASHES_PER_MESSAGE);
        repeated
    }

    fn cleared_updates(&self, cleared: &[CallAttribute], now: TimeUs) -> Vec<ClearedUpdate> {
        let updates = cleared.iter().map(|attribute| ClearedUpdate {
            attribute: *attribute,
            progress: self.histories.progress(*attribute, now),
        });
        updates
            .filter(|update| update.progress != AnswerProgress::NONE)
            .collect()
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
        blocked.sort_by_key(|(attribute, _)| **attribute);
        let included = blocked
            .into_iter()
            .skip(page * MAX_BLOCKED_PER_MESSAGE)
            .take(MAX_BLOCKED_PER_MESSAGE);
        let update = |(attribute, blocked): (&CallAttribute, &Blocked)| BlockedUpdate {
            attribute: *attribute,
            absent_ms: now.since(blocked.last_seen_us).as_ms(),
            trial: blocked.trial_update(now),
        };
        included.map(update).collect()
    }

    /// Applies the update of another daemon and returns what it changes.
    pub fn apply_peer_update(&mut self, update: &SuspectUpdate, now: TimeUs) -> BlockChanges {
        let mut changes = BlockChanges::default();
        for cleared in &update.cleared {
            if self.apply_cleared(*cleared, now) {
                changes.unblocked.push(cleared.attribute);
            }
        }
        for attribute in &update.lifted {
            let is_known = self.lifted.contains_key(attribute);
            if !is_known && self.lift_block(*attribute, now) {
                changes.unblocked.push(*attribute);
            }
        }
        for update in &update.crashes {
            let crash = Crash {
                instance: update.endpoint,
                progress: update.progress,
            };
            self.record_crash(update.attribute, crash, false, now);
        }
        for blocked in &update.blocked {
            if self.apply_blocked(*blocked, now) {
                changes.blocked.push(NewBlock {
                    attribute: blocked.attribute,
                    is_direct: false,
                });
            }
        }
        changes.blocked.extend(self.block_due(now));
        changes
    }

    /// Records how far an answer got elsewhere. Returns whether that ends a block.
    fn apply_cleared(&mut self, update: ClearedUpdate, now: TimeUs) -> bool {
        let attribute = update.attribute;
        let is_known = self.suspects.contains_key(&attribute) || self.is_blocked(attribute);
        is_known && self.record_attribute_progress(attribute, update.progress, now)
    }

    fn apply_blocked(&mut self, update: BlockedUpdate, now: TimeUs) -> bool {
        let seen_at_us = now
            .get()
            .saturating_sub(DurationUs::from_ms(update.absent_ms).get());
        let seen_at_us = TimeUs::new(seen_at_us);
        if let Some(known) = self.blocked.get_mut(&update.attribute) {
            known.last_seen_us = known.last_seen_us.max(seen_at_us);
            known.apply_trial_update(update.trial, now);
            return false;
        }
        if self.is_cleared(update.attribute, now) {
            self.recent_cleared.add(update.attribute, now);
            return false;
        }
        if self.lifted.contains_key(&update.attribute) {
            self.recent_lifted.add(update.attribute, now);
            return false;
        }
        self.block(update.attribute, seen_at_us, now);
        if let Some(blocked) = self.blocked.get_mut(&update.attribute) {
            blocked.apply_trial_update(update.trial, now);
        }
        true
    }
}
