//! Groups of endpoints that can serve the same requests.
//!
//! A decision looks only at its own pool, so that its cost doesn't grow with the other services.

use std::collections::HashMap;

use wisteriahitch_types::{ModelName, ServiceName, WeightVersion};

/// Names a pool: a service and, for engines, one version of one model.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct PoolKey {
    /// Service of the endpoints.
    pub(crate) service: ServiceName,
    /// Model and version that they have ready; nothing for plain services.
    pub(crate) model: Option<(ModelName, WeightVersion)>,
}

/// Says how willingly an endpoint is given work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum PoolMembershipState {
    /// It takes work.
    Ready,
    /// It takes work only where no other endpoint can.
    LastResort,
    /// It takes no work.
    #[default]
    Excluded,
}

/// Holds the rows of one pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    /// Endpoints that take work.
    pub(crate) ready: Vec<usize>,
    /// Endpoints that take work only where no other can.
    pub(crate) last_resort: Vec<usize>,
}

/// Remembers in which pools a row stands.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct PoolMembership {
    /// Pools.
    pub(crate) keys: Vec<PoolKey>,
    /// Place within each of them.
    pub(crate) state: PoolMembershipState,
}

impl Pool {
    /// Returns the rows of one standing.
    pub(crate) fn rows(&self, state: PoolMembershipState) -> &[usize] {
        match state {
            PoolMembershipState::Ready => &self.ready,
            PoolMembershipState::LastResort => &self.last_resort,
            PoolMembershipState::Excluded => &[],
        }
    }
}

impl PoolMembership {
    /// Returns whether the row stands so in this pool.
    pub(crate) fn is_member(&self, key: &PoolKey, state: PoolMembershipState) -> bool {
        self.state == state && self.keys.contains(key)
    }
}

/// Holds every pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pools {
    by_key: HashMap<PoolKey, Pool>,
}

impl Pools {
    /// Returns the pool with this key.
    pub(crate) fn get(&self, key: &PoolKey) -> Option<&Pool> {
        self.by_key.get(key)
    }

    /// Iterates over all pools.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&PoolKey, &Pool)> {
        self.by_key.iter()
    }

    /// Moves `row` from its `old` pools to its `new` ones.
    pub(crate) fn move_row(&mut self, row: usize, old: &PoolMembership, new: &PoolMembership) {
        if old == new {
            return;
        }
        for key in &old.keys {
            self.remove(row, key);
        }
        for key in &new.keys {
            let pool = self.by_key.entry(key.clone()).or_default();
            match new.state {
                PoolMembershipState::Ready => pool.ready.push(row),
                PoolMembershipState::LastResort => pool.last_resort.push(row),
                PoolMembershipState::Excluded => {}
            }
        }
    }

    fn remove(&mut self, row: usize, key: &PoolKey) {
        let Some(pool) = self.by_key.get_mut(key) else {
            return;
        };
        pool.ready.retain(|other| *other != row);
        pool.last_resort.retain(|other| *other != row);
        if pool.ready.is_empty() && pool.last_resort.is_empty() {
            self.by_key.remove(key);
        }
    }
}
