//! Readers of one generation against those of the next.

use wisteriahitch_core::tier::{BlockError, BlockIdentity, BlockLocation, BlockTable};
use wisteriahitch_types::{Generation, Tier};

use crate::tier::{BLOCK_BYTES, BLOCK_TOKENS, CRC32C, key, name, reader};

fn identity(generation: u64) -> BlockIdentity {
    BlockIdentity {
        incarnation: name("i-1"),
        generation: Generation::new(generation),
        weight_version: name("v1"),
        workspace: Some(name("kandy")),
        tokens: BLOCK_TOKENS,
        bytes: BLOCK_BYTES,
    }
}

/// Symptom: a request reads a block that was freed, under the pin of another one's reader.
/// Sequence: a reader holds a block; the store frees it and gives its place to new content; a
/// second reader pins that. Cause: a right names the place alone, so that the first reader's
/// check finds the second one's pin, and its end takes that pin away.
#[test]
fn a_stale_handle_never_reaches_the_next_generation() {
    let mut table = BlockTable::default();
    table.record_incarnation(&name("hub-cache"), &name("i-1"));
    let location = BlockLocation {
        store: name("hub-cache"),
        key: key(1),
    };
    let reader = reader("kandy", "v1");
    let mut pinned = Vec::new();
    for generation in [1, 2] {
        let identity = identity(generation);
        let adopted = table.adopt(location.clone(), identity, Tier::Memory, Some(CRC32C));
        assert!(adopted.is_ok(), "{adopted:?}");
        pinned.push(table.pin(&location, &reader).expect("readable"));
    }
    let [earlier, later] = [&pinned[0], &pinned[1]];
    assert!(!table.is_pin_valid(earlier));
    assert!(table.is_pin_valid(later));
    assert_eq!(table.unpin(earlier), Err(BlockError::Gone));
    assert!(
        table.is_pin_valid(later),
        "the earlier reader took the pin away"
    );
    assert_eq!(table.unpin(later), Ok(()));
}
