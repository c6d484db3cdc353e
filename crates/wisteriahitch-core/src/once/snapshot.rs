//! What a dump shows of the table.

use std::collections::BTreeMap;

use serde::Serialize;
use wisteriahitch_types::ByteCount;

use super::OnceKey;

/// Holds one key that is under way.
#[derive(Clone, Debug, Serialize)]
pub struct EntrySnapshot {
    /// Key.
    pub key: OnceKey,
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
