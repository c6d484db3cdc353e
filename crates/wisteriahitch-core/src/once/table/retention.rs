//! Evicts outcomes by age and by memory.

use wisteriahitch_types::{DurationUs, TimeUs};

use super::IdempotencyTable;
use crate::once::entry::Entry;
use crate::once::key_state_machine::Event;
use crate::once::retention_queue::RetainedKey;

impl IdempotencyTable {
    /// Evicts outcomes that are older than the TTL or exceed the memory limit, and removes expired
    /// tombstones.
    pub fn tick(&mut self, now: TimeUs) {
        self.latest_now = now;
        let uptime_us = DurationUs::new(now.get());
        if uptime_us > self.limits.outcome_ttl_us {
            let settled_before = TimeUs::new((uptime_us - self.limits.outcome_ttl_us).get());
            while let Some(expired) = self.retained.pop_older_than(settled_before) {
                self.expire(&expired, now);
            }
        }
        self.enforce_memory_limit(now);
        self.remove_expired_tombstones(now);
    }

    pub(super) fn enforce_memory_limit(&mut self, now: TimeUs) {
        while let Some(expired) = self.retained.pop_over_limit(self.limits.max_settled_bytes) {
            self.expire(&expired, now);
        }
    }

    fn expire(&mut self, expired: &RetainedKey, now: TimeUs) {
        let Some(entry) = self.entries.get_mut(&expired.key) else {
            return;
        };
        if entry.settle_sequence != Some(expired.settle_sequence) {
            return;
        }
        entry.handle(&Event::Expire);
        entry.settle_sequence = None;
        match expired.key.expiry() {
            // Without a tombstone, a used ticket that has not expired would be accepted as unused,
            // and its next copy would run the request again.
            Some(expires_us) if now < expires_us => {
                self.tombstones.insert((expires_us, expired.key.clone()));
            }
            _ => {
                self.entries.remove(&expired.key);
            }
        }
    }

    fn remove_expired_tombstones(&mut self, now: TimeUs) {
        while let Some((expires_us, key)) = self.tombstones.pop_first() {
            if now < expires_us {
                self.tombstones.insert((expires_us, key));
                break;
            }
            // A ticket that was released before its dispatch may be running again. It enters the
            // retention queue once it is settled.
            let is_tombstone =
                |entry: &Entry| entry.is_settled() && entry.settle_sequence.is_none();
            if self.entries.get(&key).is_some_and(is_tombstone) {
                self.entries.remove(&key);
            }
        }
    }
}
