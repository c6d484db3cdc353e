//! Limits polling to one call per VM at a time.

use std::collections::HashSet;
use std::hash::Hash;
use std::sync::Arc;

use parking_lot::Mutex;

/// The VMs to which a call is in flight.
///
/// A frozen VM accepts a call and doesn't answer before the call's timeout. Polling it in every
/// round regardless would pile up connections, and the answers could arrive out of order.
#[derive(Debug)]
pub(super) struct InFlightCalls<K> {
    keys: Arc<Mutex<HashSet<K>>>,
}

/// Marks a call as in flight until it is dropped.
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
    /// Begins a call; `None` while the previous one to the same VM is in flight.
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
