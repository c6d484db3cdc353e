//! Pools of endpoints that can run the same requests.
//!
//! A decision reads only its own pool, so that its cost doesn't grow with the number of services.

use std::collections::HashMap;

use wisteriahitch_types::{ModelName, ServiceName, WeightVersion};

/// Key of a pool: a service and, for engines, one weight version of one model.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct PoolKey {
    /// Service of the endpoints.
    pub(crate) service: ServiceName,
    /// Model and weight version that the endpoints have ready; `None` for plain services.
    pub(crate) model: Option<(ModelName, WeightVersion)>,
}

/// Whether an endpoint in a pool can be chosen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum PoolMembershipState {
    /// It can be chosen.
    Ready,
    /// It is chosen only if no ready endpoint of the pool can be.
    LastResort,
    /// It can't be chosen and belongs to no pool.
    #[default]
    Excluded,
}

/// The rows of the endpoints in one pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    /// Rows that can be chosen.
    pub(crate) ready: Vec<usize>,
    /// Rows that are chosen only if no ready one can be.
    pub(crate) last_resort: Vec<usize>,
}

/// The pools that a row is in.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct PoolMembership {
    /// Keys of the pools.
    pub(crate) keys: Vec<PoolKey>,
    /// State of the row, the same in each of its pools.
    pub(crate) state: PoolMembershipState,
}

impl Pool {
    /// Returns the rows with the given state.
    pub(crate) fn rows(&self, state: PoolMembershipState) -> &[usize] {
        match state {
            PoolMembershipState::Ready => &self.ready,
            PoolMembershipState::LastResort => &self.last_resort,
            PoolMembershipState::Excluded => &[],
        }
    }
}

impl PoolMembership {
    /// Returns whether the row is in the pool `key` with the given state.
    pub(crate) fn is_member(&self, key: &PoolKey, state: PoolMembershipState) -> bool {
        self.state == state && self.keys.contains(key)
    }
}

/// All non-empty pools by key.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pools {
    by_key: HashMap<PoolKey, Pool>,
}

impl Pools {
    /// Returns the pool with this key, or `None` if it has no endpoints.
    pub(crate) fn get(&self, key: &PoolKey) -> Option<&Pool> {
        self.by_key.get(key)
    }

    /// Iterates over all pools and their keys.
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
