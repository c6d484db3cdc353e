//! What a dump shows of keys and claims.

use std::collections::BTreeMap;

use serde::Serialize;
use wisteriahitch_types::{ByteCount, TimeUs};

use super::{ClaimShard, IdempotencyKey};

/// Holds one key that is under way.
#[derive(Clone, Debug, Serialize)]
pub struct EntrySnapshot {
    /// Key.
    pub key: IdempotencyKey,
    /// State of its life cycle.
    pub state: &'static str,
    /// Callers that wait for it.
    pub waiters: usize,
}

/// Holds the table's state for an operator; answers themselves are never shown.
#[derive(Clone, Debug, Serialize)]
pub struct TableSnapshot {
    /// Number of keys by state.
    pub keys_by_state: BTreeMap<&'static str, usize>,
    /// Memory that settled keys take.
    pub kept_bytes: ByteCount,
    /// Keys that are under way.
    pub under_way: Vec<EntrySnapshot>,
}

/// Holds what is under way on one object of claims.
#[derive(Clone, Debug, Serialize)]
pub struct ShardSnapshot {
    /// Object.
    pub shard: ClaimShard,
    /// Platform call that is under way.
    pub call: &'static str,
    /// Requests that wait for their claim.
    pub requests: usize,
    /// Outcomes that wait to be written down.
    pub outcomes: usize,
}

/// Holds the state of claims for an operator.
#[derive(Clone, Debug, Serialize)]
pub struct ClaimSnapshot {
    /// Until when the platform is left alone.
    pub away_until_us: TimeUs,
    /// Objects with work.
    pub shards: Vec<ShardSnapshot>,
}
