//! Updates that a daemon repeats in its gossip for a while after it has learned them.

use std::collections::VecDeque;

use wisteriahitch_types::{DurationUs, TimeUs};

/// Time for which an update is repeated: ten messages, so that lost messages do not matter.
pub(super) const REPEAT_DURATION_US: DurationUs = DurationUs::from_ms(1_000);

/// Maximum number of queued updates of one kind: as many as fit in ten messages.
const MAX_UPDATES: usize = 480;

/// Queue of updates, each with the time until which it is repeated.
#[derive(Debug)]
pub(super) struct RecentUpdates<T> {
    updates: VecDeque<(TimeUs, T)>,
}

impl<T> Default for RecentUpdates<T> {
    fn default() -> Self {
        Self {
            updates: VecDeque::new(),
        }
    }
}

impl<T: Copy + PartialEq> RecentUpdates<T> {
    /// Adds an update; one that is already queued is moved to the end with a new expiry.
    pub(super) fn add(&mut self, update: T, now: TimeUs) {
        self.updates.retain(|(_, queued)| *queued != update);
        if self.is_full() {
            self.updates.pop_front();
        }
        self.updates.push_back((now + REPEAT_DURATION_US, update));
    }

    /// Returns whether the queue is full.
    pub(super) fn is_full(&self) -> bool {
        self.updates.len() >= MAX_UPDATES
    }

    /// Removes the update with the lowest weight, the oldest among equals.
    pub(super) fn remove_least_important(&mut self, weight: impl Fn(&T) -> usize) {
        let least_important = self.updates.iter().enumerate();
        let least_important = least_important.min_by_key(|(_, (_, update))| weight(update));
        if let Some(index) = least_important.map(|(index, _)| index) {
            self.updates.remove(index);
        }
    }

    /// Removes expired updates and returns the others.
    pub(super) fn current(&mut self, now: TimeUs) -> impl Iterator<Item = T> {
        while self.updates.front().is_some_and(|(until, _)| *until <= now) {
            self.updates.pop_front();
        }
        self.updates.iter().map(|(_, update)| *update)
    }
}
