//! Forgetting keys whose outcome need not be kept any more.

use wisteriahitch_types::{DurationUs, TimeUs};

use super::KeyedTable;
use crate::once::entry::Entry;
use crate::once::keeper::Place;
use crate::once::life::Event;

impl KeyedTable {
    /// Forgets outcomes whose time or room has run out.
    pub fn tick(&mut self, now: TimeUs) {
        self.last_seen = now;
        let since_start_us = DurationUs::new(now.get());
        if since_start_us > self.limits.kept_us {
            let limit = TimeUs::new((since_start_us - self.limits.kept_us).get());
            while let Some(place) = self.keeper.take_older_than(limit) {
                self.expire(&place, now);
            }
        }
        self.keep_within_bounds(now);
        self.drop_tombstones(now);
    }

    pub(super) fn keep_within_bounds(&mut self, now: TimeUs) {
        while let Some(place) = self.keeper.take_over(self.limits.kept_bytes) {
            self.expire(&place, now);
        }
    }

    fn expire(&mut self, place: &Place, now: TimeUs) {
        let Some(entry) = self.entries.get_mut(&place.key) else {
            return;
        };
        if entry.settlement != Some(place.settlement) {
            return;
        }
        entry.handle(&Event::Expire);
        entry.settlement = None;
        match place.key.expiry() {
            // Forgetting a used ticket that could still be accepted would make it fresh, and its
            // next copy would run the request again.
            Some(expires_us) if now < expires_us => {
                self.tombstones.insert((expires_us, place.key.clone()));
            }
            _ => {
                self.entries.remove(&place.key);
            }
        }
    }

    fn drop_tombstones(&mut self, now: TimeUs) {
        while let Some((expires_us, key)) = self.tombstones.pop_first() {
            if now < expires_us {
                self.tombstones.insert((expires_us, key));
                break;
            }
            // A ticket that was given back may run again; it has a place of its own once it ends.
            let is_dead = |entry: &Entry| entry.is_settled() && entry.settlement.is_none();
            if self.entries.get(&key).is_some_and(is_dead) {
                self.entries.remove(&key);
            }
        }
    }
}
