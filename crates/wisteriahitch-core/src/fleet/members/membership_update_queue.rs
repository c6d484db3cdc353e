//! Queue of membership updates that are still to be sent, each a bounded number of times.

use std::collections::BTreeMap;

use serde::Serialize;
use wisteriahitch_types::Incarnation;

/// Members whose updates are still to be sent, with the number of times each has been sent.
///
/// The content of an update is read from the member table when it is sent, so that an older state
/// is never sent after a newer one is known.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct MembershipUpdateQueue {
    #[serde(rename = "sends")]
    transmissions: BTreeMap<Incarnation, u32>,
}

impl MembershipUpdateQueue {
    /// Queues a member's update and resets its send count.
    pub(crate) fn push(&mut self, incarnation: Incarnation) {
        self.transmissions.insert(incarnation, 0);
    }

    pub(crate) fn remove(&mut self, incarnation: Incarnation) {
        self.transmissions.remove(&incarnation);
    }

    /// Returns the queued members, those sent least often first.
    pub(crate) fn least_sent_first(&self) -> Vec<Incarnation> {
        let mut order: Vec<(u32, Incarnation)> = self
            .transmissions
            .iter()
            .map(|(incarnation, transmissions)| (*transmissions, *incarnation))
            .collect();
        order.sort_unstable();
        order
            .into_iter()
            .map(|(_, incarnation)| incarnation)
            .collect()
    }

    /// Counts one transmission; the update is removed from the queue after `max_transmissions`.
    pub(crate) fn mark_sent(&mut self, incarnation: Incarnation, max_transmissions: u32) {
        let Some(transmissions) = self.transmissions.get_mut(&incarnation) else {
            return;
        };
        *transmissions += 1;
        if *transmissions >= max_transmissions {
            self.transmissions.remove(&incarnation);
        }
    }
}
