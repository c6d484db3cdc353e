//! Which settled keys are kept, and for how long.

use std::collections::{BTreeMap, VecDeque};

use wisteriahitch_types::{ByteCount, TimeUs, WorkspaceId};

use super::OnceKey;

/// Holds a settled key's place in the order of settling.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    pub(crate) key: OnceKey,
    pub(crate) settlement: u64,
    settled_us: TimeUs,
    cost_bytes: ByteCount,
}

#[derive(Default)]
struct WorkspaceShelf {
    places: VecDeque<Place>,
    cost_bytes: ByteCount,
}

/// Orders settled keys by workspace and age.
///
/// When room runs out, the workspace that takes most gives up its oldest: otherwise one customer
/// with many large answers would push out the answers of all others.
#[derive(Default)]
pub(crate) struct Keeper {
    shelves: BTreeMap<WorkspaceId, WorkspaceShelf>,
    cost_bytes: ByteCount,
    next_settlement: u64,
}

impl Keeper {
    /// Takes in a key that settled at `now` and returns the number of its place.
    pub(crate) fn put(&mut self, key: &OnceKey, cost_bytes: ByteCount, now: TimeUs) -> u64 {
        let settlement = self.next_settlement;
        self.next_settlement += 1;
        let shelf = self.shelves.entry(key.workspace().clone()).or_default();
        shelf.cost_bytes += cost_bytes;
        self.cost_bytes += cost_bytes;
        shelf.places.push_back(Place {
            key: key.clone(),
            settlement,
            settled_us: now,
            cost_bytes,
        });
        settlement
    }

    /// Takes out a place that settled before `limit`, if there is one.
    pub(crate) fn take_older_than(&mut self, limit: TimeUs) -> Option<Place> {
        let is_old = |shelf: &WorkspaceShelf| {
            let oldest = shelf.places.front();
            oldest.is_some_and(|place| place.settled_us < limit)
        };
        let found = self.shelves.iter().find(|(_, shelf)| is_old(shelf));
        let workspace = found.map(|(workspace, _)| workspace.clone())?;
        self.take_oldest(&workspace)
    }

    /// Takes out a place while more than `room` is taken.
    pub(crate) fn take_over(&mut self, room: ByteCount) -> Option<Place> {
        if self.cost_bytes <= room {
            return None;
        }
        let largest = self.shelves.iter().max_by_key(|(_, s)| s.cost_bytes);
        let workspace = largest.map(|(workspace, _)| workspace.clone())?;
        self.take_oldest(&workspace)
    }

    pub(crate) fn cost_bytes(&self) -> ByteCount {
        self.cost_bytes
    }

    fn take_oldest(&mut self, workspace: &WorkspaceId) -> Option<Place> {
        let shelf = self.shelves.get_mut(workspace)?;
        let place = shelf.places.pop_front()?;
        shelf.cost_bytes = shelf.cost_bytes - place.cost_bytes;
        self.cost_bytes = self.cost_bytes - place.cost_bytes;
        if shelf.places.is_empty() {
            self.shelves.remove(workspace);
        }
        Some(place)
    }
}
