//! Selection of the updates in a message, within the byte limits.

use std::collections::BTreeSet;

use rand::seq::SliceRandom;
use wisteriahitch_types::Incarnation;

use super::{MemberState, Membership, MembershipUpdate};

impl Membership {
    /// Selects updates within the byte limits: this daemon's own first, then queued updates, then
    /// random others, so that a daemon that missed an update receives it eventually.
    pub(super) fn select_updates(
        &mut self,
        receiver: Option<Incarnation>,
    ) -> Vec<MembershipUpdate> {
        let mut order = vec![self.me];
        order.extend(receiver.filter(|receiver| self.is_suspect_or_dead(*receiver)));
        order.extend(self.update_queue.least_sent_first());
        let mut rest: Vec<Incarnation> = self.peers().map(|m| m.incarnation).collect();
        rest.shuffle(&mut self.rng);
        order.extend(rest);

        let max_transmissions = self.max_transmissions();
        let mut chosen = BTreeSet::new();
        let mut updates = Vec::new();
        let mut bytes = 0;
        for incarnation in order {
            let is_own = incarnation == self.me;
            let Some(member) = self.members.get(&incarnation) else {
                continue;
            };
            // About itself the receiver needs only a suspicion, so that it can refute it.
            if receiver == Some(incarnation) && !self.is_suspect_or_dead(incarnation) {
                continue;
            }
            let update = MembershipUpdate::of(member);
            let size = update.size_bytes();
            let fits_message = bytes + size <= self.settings.max_message_update_bytes;
            let fits_round =
                self.round_update_bytes + bytes + size <= self.settings.max_round_update_bytes;
            let fits_limits = fits_message && fits_round;
            let fits_as_own = is_own && self.fits_hard_limit(size);
            if !fits_limits && !fits_as_own {
                break;
            }
            if chosen.insert(incarnation) {
                bytes += size;
                updates.push(update);
                self.update_queue.mark_sent(incarnation, max_transmissions);
            }
        }
        self.round_update_bytes += bytes;
        updates
    }

    /// Returns whether a member is believed to be suspect or dead, which it may refute.
    pub(super) fn is_suspect_or_dead(&self, incarnation: Incarnation) -> bool {
        let member = self.members.get(&incarnation);
        member.is_some_and(|m| matches!(m.state, MemberState::Suspect | MemberState::Dead))
    }

    /// Returns whether `size` more bytes stay within the round's hard limit, which is never
    /// exceeded.
    pub(super) fn fits_hard_limit(&self, size: usize) -> bool {
        self.round_update_bytes + size <= 2 * self.settings.max_round_update_bytes
    }

    pub(super) fn can_serve_sync(&self) -> bool {
        let page_bytes = self.settings.max_sync_page_updates * MembershipUpdate::MAX_V4_BYTES;
        !self.is_sync_served && self.fits_hard_limit(page_bytes)
    }

    pub(super) fn build_sync_page(&mut self, after: Incarnation) -> Vec<MembershipUpdate> {
        self.is_sync_served = true;
        let page_len = self.settings.max_sync_page_updates;
        let me = MembershipUpdate::of(self.me());
        let following = self
            .members
            .range((std::ops::Bound::Excluded(after), std::ops::Bound::Unbounded))
            .map(|(_, member)| member)
            .filter(|member| member.state.is_present() && member.incarnation != self.me)
            .map(MembershipUpdate::of);
        let updates: Vec<MembershipUpdate> = std::iter::once(me)
            .chain(following)
            .take(page_len)
            .collect();
        self.round_update_bytes += updates
            .iter()
            .map(MembershipUpdate::size_bytes)
            .sum::<usize>();
        updates
    }

    pub(super) fn max_transmissions(&self) -> u32 {
        let size = self.present().count() as u32 + 1;
        self.settings.retransmit_factor * (size.ilog2() + 1)
    }
}
