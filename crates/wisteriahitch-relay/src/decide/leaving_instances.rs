//! Endpoint instances that have announced their leaving in an answer.
//!
//! Their registrations may say otherwise: they are read late, or not at all while the store is
//! down, and those that lapse in an outage come back unchanged. So announcements in answers are
//! kept apart from the registrations, by the instance that made them.
//! `docs/design/endpoint-lives.md` says what that means for the next instance.

use std::collections::HashMap;

use wisteriahitch_types::{DurationUs, TimeUs};

/// How long an instance is kept after its announcement if it is no longer registered. Longer than
/// outages of the store after which its registration could come back.
const REMOVED_RETENTION_US: DurationUs = DurationUs::from_ms(600_000);

/// How long an instance that isn't registered is sent to other daemons: some hundred messages.
const UNREGISTERED_GOSSIP_US: DurationUs = DurationUs::from_ms(60_000);

/// Maximum number of instances: three times the number of endpoints that the system is designed for
/// (docs/DEVELOPERS.md).
const MAX_INSTANCES: usize = 3_600;

/// Leaving instances, by short name.
#[derive(Debug, Default)]
pub(super) struct LeavingInstances {
    /// When each announcement became known.
    received_at_us: HashMap<u32, TimeUs>,
}

impl LeavingInstances {
    /// Adds an instance, and returns whether it is new. The time of a known instance isn't renewed;
    /// otherwise daemons would keep it alive forever by gossiping it to each other.
    pub(super) fn insert(&mut self, short_name: u32, now: TimeUs) -> bool {
        if self.contains(short_name) {
            return false;
        }
        if self.received_at_us.len() >= MAX_INSTANCES {
            self.evict_oldest();
        }
        self.received_at_us.insert(short_name, now);
        true
    }

    /// Returns whether an instance has announced its leaving.
    pub(super) fn contains(&self, short_name: u32) -> bool {
        self.received_at_us.contains_key(&short_name)
    }

    /// Lists the instances to send to other daemons: those that `is_registered`, and those added
    /// within [`UNREGISTERED_GOSSIP_US`].
    pub(super) fn to_gossip(&self, is_registered: impl Fn(u32) -> bool, now: TimeUs) -> Vec<u32> {
        let received = self.received_at_us.iter();
        let due = received.filter(|(short_name, at)| {
            now.since(**at) < UNREGISTERED_GOSSIP_US || is_registered(**short_name)
        });
        let mut short_names: Vec<u32> = due.map(|(short_name, _)| *short_name).collect();
        // Messages that carry a part of the list in round-robin order need a stable order.
        short_names.sort_unstable();
        short_names
    }

    /// Removes instances that were added long ago and aren't registered.
    pub(super) fn tick(&mut self, is_registered: impl Fn(u32) -> bool, now: TimeUs) {
        self.received_at_us.retain(|short_name, at| {
            now.since(*at) < REMOVED_RETENTION_US || is_registered(*short_name)
        });
    }

    fn evict_oldest(&mut self) {
        let oldest = self.received_at_us.iter().min_by_key(|(_, at)| **at);
        if let Some(short_name) = oldest.map(|(short_name, _)| *short_name) {
            self.received_at_us.remove(&short_name);
        }
    }
}
