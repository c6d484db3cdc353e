//! Assignment of directory shards to daemons.

use wisteriahitch_types::{BlockKey, DaemonId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the daemon that keeps the entries of `key`, by rendezvous hashing.
///
/// When a daemon joins or leaves, only the keys of its own shard move. Returns `None` if `daemons`
/// is empty. The result doesn't depend on the order of `daemons`.
pub fn shard_owner<'a>(key: &BlockKey, daemons: &'a [DaemonId]) -> Option<&'a DaemonId> {
    daemons.iter().max_by_key(|daemon| {
        let score = rendezvous_score(key.as_bytes(), daemon.as_str());
        (score, daemon.as_str())
    })
}

/// Returns the rendezvous score of `name` for `item`; the name with the highest score wins.
pub(crate) fn rendezvous_score(item: &[u8], name: &str) -> u64 {
    let seed = xxh3_64_with_seed(item, 0);
    xxh3_64_with_seed(name.as_bytes(), seed)
}
