//! Asking each VM once at a time.

use std::collections::HashSet;
use std::hash::Hash;
use std::sync::Arc;

use parking_lot::Mutex;

/// Holds whom a call is under way to.
///
/// A frozen VM takes a call and answers nothing until the call's time-out. Asking it in every round
/// all the same would pile up connections, and the answers could come in another order than they
/// were made in.
#[derive(Debug)]
pub(super) struct InFlight<K> {
    asked: Arc<Mutex<HashSet<K>>>,
}

/// Marks a call as under way until it is dropped.
#[derive(Debug)]
pub(super) struct Asking<K: Hash + Eq> {
    key: K,
    asked: Arc<Mutex<HashSet<K>>>,
}

impl<K> Default for InFlight<K> {
    fn default() -> Self {
        Self {
            asked: Arc::default(),
        }
    }
}

impl<K: Hash + Eq + Clone> InFlight<K> {
    /// Begins a call; nothing where the last one hasn't ended.
    pub(super) fn try_begin(&self, key: &K) -> Option<Asking<K>> {
        let is_first = self.asked.lock().insert(key.clone());
        is_first.then(|| Asking {
            key: key.clone(),
            asked: Arc::clone(&self.asked),
        })
    }
}

impl<K: Hash + Eq> Drop for Asking<K> {
    fn drop(&mut self) {
        self.asked.lock().remove(&self.key);
    }
}
