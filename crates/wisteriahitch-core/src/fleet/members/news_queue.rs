//! News still to be told, each a bounded number of times.

use std::collections::BTreeMap;

use serde::Serialize;
use wisteriahitch_types::Incarnation;

/// Holds which members' news is still to be told, and how often it has been.
///
/// What the news says is read from the table when it is sent, so that an older state never goes
/// out after a newer one is known.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct NewsQueue {
    sends: BTreeMap<Incarnation, u32>,
}

impl NewsQueue {
    /// Makes a member's news fresh again.
    pub(crate) fn push(&mut self, incarnation: Incarnation) {
        self.sends.insert(incarnation, 0);
    }

    pub(crate) fn remove(&mut self, incarnation: Incarnation) {
        self.sends.remove(&incarnation);
    }

    /// Returns the members with news, those told least often first.
    pub(crate) fn by_urgency(&self) -> Vec<Incarnation> {
        let mut order: Vec<(u32, Incarnation)> = self
            .sends
            .iter()
            .map(|(incarnation, sends)| (*sends, *incarnation))
            .collect();
        order.sort_unstable();
        order
            .into_iter()
            .map(|(_, incarnation)| incarnation)
            .collect()
    }

    /// Counts one telling; the news is dropped after `max_sends`.
    pub(crate) fn mark_sent(&mut self, incarnation: Incarnation, max_sends: u32) {
        let Some(sends) = self.sends.get_mut(&incarnation) else {
            return;
        };
        *sends += 1;
        if *sends >= max_sends {
            self.sends.remove(&incarnation);
        }
    }
}
