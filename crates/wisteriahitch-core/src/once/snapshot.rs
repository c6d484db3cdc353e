//! Snapshots of keys and claims for diagnostics.

use std::collections::BTreeMap;

use serde::Serialize;
use wisteriahitch_types::{ByteCount, TimeUs};

use super::{ClaimShard, IdempotencyKey};

/// A key that is not settled yet.
#[derive(Clone, Debug, Serialize)]
pub struct EntrySnapshot {
    /// Key of the request.
    pub key: IdempotencyKey,
    /// Name of the state of its state machine.
    pub state: &'static str,
    /// Number of callers that wait for the outcome.
    pub waiters: usize,
}

/// State of the table for operators. Contents of answers are never included.
#[derive(Clone, Debug, Serialize)]
pub struct TableSnapshot {
    /// Number of keys by state.
    pub keys_by_state: BTreeMap<&'static str, usize>,
    /// Memory of settled keys and their stored answers.
    pub kept_bytes: ByteCount,
    /// Keys that are not settled yet.
    pub under_way: Vec<EntrySnapshot>,
}

/// Pending work on one claim object.
#[derive(Clone, Debug, Serialize)]
pub struct ShardSnapshot {
    /// Shard that the object belongs to.
    pub shard: ClaimShard,
    /// Platform call in progress: `none`, `read`, `write`, or `back_off` before a retry.
    pub call: &'static str,
    /// Number of requests that wait for their claim.
    pub requests: usize,
    /// Number of outcomes that wait to be written.
    pub outcomes: usize,
}

/// State of the claims for operators.
#[derive(Clone, Debug, Serialize)]
pub struct ClaimSnapshot {
    /// End of the pause in platform calls after a failure, on the process's own clock.
    pub away_until_us: TimeUs,
    /// Claim objects with pending work.
    pub shards: Vec<ShardSnapshot>,
}
