//! Selection of the updates in a message, within the byte limits.

use std::collections::BTreeSet;

use rand::seq::SliceRandom;
use wisteriahitch_types::Incarnation;

use super::{MemberState, Membership, News};

impl Membership {
    /// Selects updates within the byte limits: this daemon's own first, then queued updates, then
    /// random others, so that a daemon that missed an update receives it eventually.
    pub(super) fn pick_news(&mut self, receiver: Option<Incarnation>) -> Vec<News> {
        let mut order = vec![self.me];
        order.extend(receiver.filter(|receiver| self.is_accused(*receiver)));
        order.extend(self.queue.by_urgency());
        let mut rest: Vec<Incarnation> = self.peers().map(|m| m.incarnation).collect();
        rest.shuffle(&mut self.rng);
        order.extend(rest);

        let max_sends = self.max_sends();
        let mut chosen = BTreeSet::new();
        let mut news = Vec::new();
        let mut bytes = 0;
        for incarnation in order {
            let is_own = incarnation == self.me;
            let Some(member) = self.members.get(&incarnation) else {
                continue;
            };
            // About itself the receiver needs only a suspicion, so that it can refute it.
            if receiver == Some(incarnation) && !self.is_accused(incarnation) {
                continue;
            }
            let item = News::of(member);
            let size = item.size_bytes();
            let is_in_message = bytes + size <= self.settings.max_news_bytes;
            let is_in_round =
                self.round_news_bytes + bytes + size <= self.settings.max_round_news_bytes;
            let has_room = is_in_message && is_in_round;
            let has_own_room = is_own && self.has_hard_room(size);
            if !has_room && !has_own_room {
                break;
            }
            if chosen.insert(incarnation) {
                bytes += size;
                news.push(item);
                self.queue.mark_sent(incarnation, max_sends);
            }
        }
        self.round_news_bytes += bytes;
        news
    }

    /// Returns whether a member is believed to be suspect or dead, which it may refute.
    pub(super) fn is_accused(&self, incarnation: Incarnation) -> bool {
        let member = self.members.get(&incarnation);
        member.is_some_and(|m| matches!(m.state, MemberState::Suspect | MemberState::Dead))
    }

    /// Returns whether `size` more bytes stay within the round's hard limit, which is never
    /// exceeded.
    pub(super) fn has_hard_room(&self, size: usize) -> bool {
        self.round_news_bytes + size <= 2 * self.settings.max_round_news_bytes
    }

    pub(super) fn can_serve_sync(&self) -> bool {
        let page_bytes = self.settings.sync_page * News::MAX_V4_BYTES;
        !self.is_sync_served && self.has_hard_room(page_bytes)
    }

    pub(super) fn sync_page(&mut self, after: Incarnation) -> Vec<News> {
        self.is_sync_served = true;
        let page = self.settings.sync_page;
        let me = News::of(self.me());
        let following = self
            .members
            .range((std::ops::Bound::Excluded(after), std::ops::Bound::Unbounded))
            .map(|(_, member)| member)
            .filter(|member| member.state.is_present() && member.incarnation != self.me)
            .map(News::of);
        let news: Vec<News> = std::iter::once(me).chain(following).take(page).collect();
        self.round_news_bytes += news.iter().map(News::size_bytes).sum::<usize>();
        news
    }

    pub(super) fn max_sends(&self) -> u32 {
        let size = self.present().count() as u32 + 1;
        self.settings.sends_factor * (size.ilog2() + 1)
    }
}
