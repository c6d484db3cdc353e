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
pub(super) struct InFlightCalls<K> {
    keys: Arc<Mutex<HashSet<K>>>,
}

/// Marks a call as under way until it is dropped.
#[derive(Debug)]
pub(super) struct InFlightCall<K: Hash + Eq> {
    key: K,
    keys: Arc<Mutex<HashSet<K>>>,
}

impl<K> Default for InFlightCalls<K> {
    fn default() -> Self {
        Self {
            keys: Arc::default(),
        }
    }
}

impl<K: Hash + Eq + Clone> InFlightCalls<K> {
    /// Begins a call; nothing where the last one hasn't ended.
    pub(super) fn try_begin(&self, key: &K) -> Option<InFlightCall<K>> {
        let is_first = self.keys.lock().insert(key.clone());
        is_first.then(|| InFlightCall {
            key: key.clone(),
            keys: Arc::clone(&self.keys),
        })
    }
}

impl<K: Hash + Eq> Drop for InFlightCall<K> {
    fn drop(&mut self) {
        self.keys.lock().remove(&self.key);
    }
}
