//! News that a daemon tells on for a while after it has learnt of them.

use std::collections::VecDeque;

use wisteriahitch_types::{DurationUs, TimeUs};

/// Time for which a daemon tells on what it has just learnt: ten messages, so that lost ones don't count.
pub(super) const REPEAT_DURATION_US: DurationUs = DurationUs::from_ms(1_000);

/// News of one kind that wait to be told: ten messages full.
const MAX_UPDATES: usize = 480;

/// What a daemon tells on until a time.
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
    /// Adds news, which wait anew if they were there.
    pub(super) fn add(&mut self, update: T, now: TimeUs) {
        self.updates.retain(|(_, queued)| *queued != update);
        if self.is_full() {
            self.updates.pop_front();
        }
        self.updates.push_back((now + REPEAT_DURATION_US, update));
    }

    /// Returns whether no more have room.
    pub(super) fn is_full(&self) -> bool {
        self.updates.len() >= MAX_UPDATES
    }

    /// Leaves out the oldest news of those that matter least.
    pub(super) fn remove_least_important(&mut self, weight: impl Fn(&T) -> usize) {
        let least_important = self.updates.iter().enumerate();
        let least_important = least_important.min_by_key(|(_, (_, update))| weight(update));
        if let Some(index) = least_important.map(|(index, _)| index) {
            self.updates.remove(index);
        }
    }

    /// Returns those that are still to be told.
    pub(super) fn current(&mut self, now: TimeUs) -> impl Iterator<Item = T> {
        while self.updates.front().is_some_and(|(until, _)| *until <= now) {
            self.updates.pop_front();
        }
        self.updates.iter().map(|(_, update)| *update)
    }
}
