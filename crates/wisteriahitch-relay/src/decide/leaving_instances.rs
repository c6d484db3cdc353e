//! Endpoints that have said in an answer that they leave.
//!
//! Their registrations may say something else: they are read late, not at all while the store is away, and those that
//! lapse meanwhile come back as they were. So what an answer says is kept apart from the registrations, by the life that
//! said it. `docs/design/endpoint-lives.md` says what that means for the next life.

use std::collections::HashMap;

use wisteriahitch_types::{DurationUs, TimeUs};

/// Time for which a life that has gone is remembered: longer than outages of the store after which its registration could
/// come back.
const REMOVED_RETENTION_US: DurationUs = DurationUs::from_ms(600_000);

/// Time for which others are told of a life whose registration isn't known: some hundred messages.
const UNREGISTERED_GOSSIP_US: DurationUs = DurationUs::from_ms(60_000);

/// Most lives that are remembered: three times the endpoints of the size to design for (docs/DEVELOPERS.md).
const MAX_INSTANCES: usize = 3_600;

/// The lives, by short name.
#[derive(Debug, Default)]
pub(super) struct LeavingInstances {
    received_at_us: HashMap<u32, TimeUs>,
}

impl LeavingInstances {
    /// Notes a life, and returns whether it wasn't known. What is known already isn't renewed, so that daemons don't keep
    /// it up by telling each other.
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

    /// Returns whether a life has said that it leaves.
    pub(super) fn contains(&self, short_name: u32) -> bool {
        self.received_at_us.contains_key(&short_name)
    }

    /// Lists the lives that others are to be told of: those that `is_there`, and those heard of lately.
    pub(super) fn to_gossip(&self, is_registered: impl Fn(u32) -> bool, now: TimeUs) -> Vec<u32> {
        let received = self.received_at_us.iter();
        let due = received.filter(|(short_name, at)| {
            now.since(**at) < UNREGISTERED_GOSSIP_US || is_registered(**short_name)
        });
        let mut short_names: Vec<u32> = due.map(|(short_name, _)| *short_name).collect();
        // Messages that take turns need one order.
        short_names.sort_unstable();
        short_names
    }

    /// Forgets lives that have been gone for long.
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
