//! News that a daemon tells on for a while after it has learnt of them.

use std::collections::VecDeque;

use wisteriahitch_types::{DurationUs, TimeUs};

/// Time for which a daemon tells on what it has just learnt: ten messages, so that lost ones don't count.
pub(super) const TOLD_FOR_US: DurationUs = DurationUs::from_ms(1_000);

/// News of one kind that wait to be told: ten messages full.
const MAX_FRESH: usize = 480;

/// What a daemon tells on until a time.
#[derive(Debug)]
pub(super) struct RecentUpdates<T> {
    news: VecDeque<(TimeUs, T)>,
}

impl<T> Default for RecentUpdates<T> {
    fn default() -> Self {
        Self {
            news: VecDeque::new(),
        }
    }
}

impl<T: Copy + PartialEq> RecentUpdates<T> {
    /// Adds news, which wait anew if they were there.
    pub(super) fn add(&mut self, news: T, now: TimeUs) {
        self.news.retain(|(_, known)| *known != news);
        if self.is_full() {
            self.news.pop_front();
        }
        self.news.push_back((now + TOLD_FOR_US, news));
    }

    /// Returns whether no more have room.
    pub(super) fn is_full(&self) -> bool {
        self.news.len() >= MAX_FRESH
    }

    /// Leaves out the oldest news of those that matter least.
    pub(super) fn drop_least(&mut self, weight: impl Fn(&T) -> usize) {
        let least = self.news.iter().enumerate();
        let least = least.min_by_key(|(_, (_, news))| weight(news));
        if let Some(index) = least.map(|(index, _)| index) {
            self.news.remove(index);
        }
    }

    /// Returns those that are still to be told.
    pub(super) fn told_at(&mut self, now: TimeUs) -> impl Iterator<Item = T> {
        while self.news.front().is_some_and(|(until, _)| *until <= now) {
            self.news.pop_front();
        }
        self.news.iter().map(|(_, news)| *news)
    }
}
