//! Access by handles of an earlier generation.

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

/// Guards against access to a freed block through another reader's pin. A reader holds a pin, the
/// store frees the block and reuses its location for new content, and a second reader pins that. If
/// handles named only the location, the first reader's check would succeed through the second pin,
/// and its unpin would release that pin.
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
        "the stale handle released the later pin"
    );
    assert_eq!(table.unpin(later), Ok(()));
}
