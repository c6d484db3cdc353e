//! Tests of which readers may access a block.

use expect_test::expect;
use wisteriahitch_core::tier::{BlockError, BlockIdentity, BlockLocation, BlockTable};
use wisteriahitch_types::{BlockKey, ByteCount, Code, Generation, Tier};

use crate::tier::{
    BLOCK_BYTES, BLOCK_TOKENS, CRC32C, at_ms, imported, key, name, pinned, plan, reader, tiers,
};

fn location(number: u8) -> BlockLocation {
    BlockLocation {
        store: name("hub-cache"),
        key: key(number),
    }
}

fn identity(generation: u64, workspace: Option<&str>, bytes: ByteCount) -> BlockIdentity {
    BlockIdentity {
        incarnation: name("i-1"),
        generation: Generation::new(generation),
        weight_version: name("v1"),
        workspace: workspace.map(name),
        tokens: BLOCK_TOKENS,
        bytes,
    }
}

fn table() -> BlockTable {
    let mut table = BlockTable::default();
    table.record_incarnation(&name("hub-cache"), &name("i-1"));
    let own = identity(3, Some("kandy"), BLOCK_BYTES);
    let listed = identity(4, None, BLOCK_BYTES);
    let adopted = table.adopt(location(1), own, Tier::Memory, Some(CRC32C));
    assert!(adopted.is_ok());
    assert!(table.adopt(location(2), listed, Tier::Disk, None).is_ok());
    table
}

struct ReaderCase {
    name: &'static str,
    key: u8,
    workspace: &'static str,
    version: &'static str,
    expected: Result<(), Code>,
}

/// Guards against a request that reads a block of another workspace or weight version. It may name
/// such a block because of a wrong directory entry, or because the weights were swapped between
/// routing and running.
#[test]
fn only_the_owner_of_the_same_version_reads() {
    let cases = [
        ReaderCase {
            name: "owner",
            key: 1,
            workspace: "kandy",
            version: "v1",
            expected: Ok(()),
        },
        ReaderCase {
            name: "other workspace",
            key: 1,
            workspace: "galle",
            version: "v1",
            expected: Err(Code::BlockCorrupt),
        },
        ReaderCase {
            name: "other version",
            key: 1,
            workspace: "kandy",
            version: "v2",
            expected: Err(Code::BlockCorrupt),
        },
        ReaderCase {
            name: "listed without workspace: the key binds it",
            key: 2,
            workspace: "galle",
            version: "v1",
            expected: Ok(()),
        },
        ReaderCase {
            name: "unknown block",
            key: 9,
            workspace: "kandy",
            version: "v1",
            expected: Err(Code::BlockGone),
        },
    ];
    for case in cases {
        let reader = reader(case.workspace, case.version);
        let result = table().pin(&location(case.key), &reader);
        let result = result.map(drop).map_err(|error| error.code());
        assert_eq!(result, case.expected, "{}", case.name);
    }
}

struct AdoptCase {
    name: &'static str,
    identity: BlockIdentity,
    crc32c: Option<u32>,
    expected: Result<(), BlockError>,
}

/// Guards against a pin on old content that gives access to new content, after the store has reused
/// a location or answers have arrived out of order.
#[test]
fn a_location_accepts_only_later_generations() {
    let cases = [
        AdoptCase {
            name: "same generation",
            identity: identity(3, Some("kandy"), BLOCK_BYTES),
            crc32c: Some(CRC32C),
            expected: Ok(()),
        },
        AdoptCase {
            name: "later generation",
            identity: identity(5, Some("kandy"), BLOCK_BYTES),
            crc32c: Some(7),
            expected: Ok(()),
        },
        AdoptCase {
            name: "earlier generation",
            identity: identity(2, Some("kandy"), BLOCK_BYTES),
            crc32c: Some(CRC32C),
            expected: Err(BlockError::Gone),
        },
        AdoptCase {
            name: "other length",
            identity: identity(3, Some("kandy"), ByteCount::new(1)),
            crc32c: Some(CRC32C),
            expected: Err(BlockError::Corrupt),
        },
        AdoptCase {
            name: "other checksum",
            identity: identity(3, Some("kandy"), BLOCK_BYTES),
            crc32c: Some(1),
            expected: Err(BlockError::Corrupt),
        },
        AdoptCase {
            name: "earlier incarnation",
            identity: BlockIdentity {
                incarnation: name("i-0"),
                ..identity(9, Some("kandy"), BLOCK_BYTES)
            },
            crc32c: Some(CRC32C),
            expected: Err(BlockError::Gone),
        },
    ];
    for case in cases {
        let mut table = table();
        let reader = reader("kandy", "v1");
        let acquired = table.pin(&location(1), &reader).expect("readable");
        let later = case.identity.generation > acquired.generation;
        let result = table.adopt(location(1), case.identity, Tier::Memory, case.crc32c);
        assert_eq!(result.map(drop), case.expected, "{}", case.name);
        let is_replaced = later && case.expected.is_ok();
        assert_eq!(table.is_pin_valid(&acquired), !is_replaced, "{}", case.name);
    }
}

/// Guards against one workspace reading another's text. Two workspaces send equal text; if keys
/// were derived from the text alone, each would find the other's blocks.
#[test]
fn equal_text_of_two_workspaces_is_never_shared() {
    let chain_key = |workspace: &str| {
        BlockKey::derive(
            "wisteriahitch test block",
            &[workspace.as_bytes(), b"equal text"],
        )
    };
    let mut tiers = tiers();
    let mut kandy = plan("r-1", "kandy", &[1]);
    let mut galle = plan("r-2", "galle", &[1]);
    kandy.steps[0].key = chain_key("kandy");
    galle.steps[0].key = chain_key("galle");
    let forged = plan("r-3", "galle", &[1]);

    tiers.plan_import(kandy.clone(), at_ms(0));
    let commands = tiers.plan_import(galle, at_ms(0));
    assert_eq!(crate::tier::briefs(&commands), ["pin t2"], "not joined");

    // Even a request with the other workspace's key gets no block.
    let mut forged_early = forged.clone();
    forged_early.steps[0].key = chain_key("kandy");
    let refused = ["r-3 proceeds: 0 imported, 1 recomputed"];
    let commands = tiers.plan_import(forged_early.clone(), at_ms(1));
    assert_eq!(crate::tier::briefs(&commands), refused, "in progress");
    tiers.handle_event(pinned(1, 4), at_ms(2));
    tiers.handle_event(imported(1), at_ms(3));
    let commands = tiers.plan_import(forged_early, at_ms(4));
    assert_eq!(crate::tier::briefs(&commands), refused, "stored");
}

#[test]
fn a_snapshot_shows_links_and_blocks() {
    let mut tiers = tiers();
    tiers.plan_import(plan("r-1", "kandy", &[1]), at_ms(0));
    tiers.handle_event(pinned(1, 4), at_ms(1));
    let snapshot = serde_json::to_value(tiers.snapshot(at_ms(2))).expect("serializes");
    let shown = format!(
        "{}\n{}\n{}",
        snapshot["block_counts"], snapshot["blocks"], snapshot["stores"]["hub-cache"]["running"],
    );
    expect![[r#"
        {"readable":1}
        [{"bytes":1000000,"generation":4,"key":"01010101010101010101010101010101","pins":1,"state":"readable","store":"hub-cache","tier":"memory","weight_version":"v1"}]
        [{"started_at_us":1000,"transfer":{"bytes":1000000,"class":"wait","id":1,"queued_at_us":1000}}]"#]]
    .assert_eq(&shown);
}
