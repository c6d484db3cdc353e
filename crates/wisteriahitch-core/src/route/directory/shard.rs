//! Which daemon keeps which part of the directory.

use wisteriahitch_types::{BlockKey, DaemonId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the daemon that keeps the entries of `key`, by rendezvous hash.
///
/// When a daemon comes or goes, only its own part of the keys moves. Returns nothing where there
/// is no daemon. The answer doesn't depend on the order of `daemons`.
pub fn shard_owner<'a>(key: &BlockKey, daemons: &'a [DaemonId]) -> Option<&'a DaemonId> {
    daemons.iter().max_by_key(|daemon| {
        let score = rendezvous_score(key.as_bytes(), daemon.as_str());
        (score, daemon.as_str())
    })
}

/// Returns how strongly `name` is drawn to `item`; the highest of all names wins.
pub(crate) fn rendezvous_score(item: &[u8], name: &str) -> u64 {
    let seed = xxh3_64_with_seed(item, 0);
    xxh3_64_with_seed(name.as_bytes(), seed)
}
