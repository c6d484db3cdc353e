//! Helpers shared by the tests of the tier module.

use std::collections::BTreeMap;

use wisteriahitch_config::{
    Configuration, Endpoint, SavePolicy, Service, ServiceKind, Store, Workspace,
};
use wisteriahitch_core::tier::{
    ChainBlock, FinishedRequest, ImportPlan, ImportStep, PinGrant, Reader, TierCommand, TierEvent,
    Tiers, TransferId,
};
use wisteriahitch_types::{
    BlockKey, ByteCount, ByteRate, DurationUs, Generation, StoreId, Tier, TimeUs, TokenCount,
    TokenRate,
};

pub(crate) const BLOCK_BYTES: ByteCount = ByteCount::new(1_000_000);
pub(crate) const BLOCK_TOKENS: TokenCount = TokenCount::new(2_000);
pub(crate) const CRC32C: u32 = 0x1234_5678;

/// Parses an id written in a test.
pub(crate) fn name<T: std::str::FromStr>(text: &str) -> T {
    match text.parse() {
        Ok(name) => name,
        Err(_) => panic!("{text:?} is not a valid id"),
    }
}

pub(crate) fn key(number: u8) -> BlockKey {
    BlockKey::from_bytes([number; 16])
}

pub(crate) fn at_ms(ms: u64) -> TimeUs {
    TimeUs::ZERO + DurationUs::from_ms(ms)
}

pub(crate) fn reader(workspace: &str, version: &str) -> Reader {
    Reader {
        workspace: name(workspace),
        weight_version: name(version),
    }
}

/// Returns a configuration with one store, whose link transfers one block per second.
pub(crate) fn configuration() -> Configuration {
    let id: StoreId = name("hub-cache");
    let store = Store {
        id: id.clone(),
        address: ([127, 0, 0, 1], 9).into(),
        availability_zone: name("colombo-a"),
        link_rate_bytes_per_s: ByteRate::new(BLOCK_BYTES.get()),
        memory_bytes: ByteCount::new(10 * BLOCK_BYTES.get()),
        disk_bytes: ByteCount::new(100 * BLOCK_BYTES.get()),
    };
    Configuration {
        stores: BTreeMap::from([(id, store)]),
        ..Configuration::default()
    }
}

fn service() -> Service {
    Service {
        name: name("assistant"),
        kind: ServiceKind::Engine,
        models: Vec::new(),
        stores: vec![name("hub-cache")],
        repeatable: Vec::new(),
        endpoints: vec![Endpoint {
            id: name("runner-1"),
            address: ([127, 0, 0, 1], 8).into(),
            availability_zone: name("colombo-a"),
            checks_fence: true,
        }],
    }
}

/// Returns a configuration with an endpoint and a workspace whose quota is `quota_blocks`.
pub(crate) fn configuration_with(quota_blocks: u64) -> Configuration {
    let workspace = Workspace {
        id: name("kandy"),
        key_hashes: Vec::new(),
        weight: 1,
        requests_per_s: None,
        prompt_tokens_per_s: None,
        max_queued: 10,
        store_bytes: ByteCount::new(quota_blocks * BLOCK_BYTES.get()),
    };
    Configuration {
        services: BTreeMap::from([(name("assistant"), service())]),
        workspaces: BTreeMap::from([(name("kandy"), workspace)]),
        ..configuration()
    }
}

pub(crate) fn finished(policy: SavePolicy, keys: &[u8]) -> FinishedRequest {
    let block = |number: &u8| ChainBlock {
        key: key(*number),
        tokens: BLOCK_TOKENS,
        bytes: BLOCK_BYTES,
    };
    FinishedRequest {
        workspace: name("kandy"),
        weight_version: name("v1"),
        endpoint: name("runner-1"),
        policy,
        prefill_tokens_per_s: TokenRate::new(2_000),
        chain: keys.iter().map(block).collect(),
    }
}

pub(crate) fn store_seen(incarnation: &str) -> TierEvent {
    TierEvent::StoreSeen {
        store: name("hub-cache"),
        incarnation: name(incarnation),
        memory_free_bytes: ByteCount::new(10 * BLOCK_BYTES.get()),
        disk_free_bytes: ByteCount::new(100 * BLOCK_BYTES.get()),
        queued_bytes: ByteCount::ZERO,
        is_leaving: false,
    }
}

/// Returns a state whose store has reported the incarnation `i-1`.
pub(crate) fn tiers() -> Tiers {
    let mut tiers = Tiers::new();
    tiers.apply_configuration(&configuration());
    let commands = tiers.handle_event(store_seen("i-1"), at_ms(0));
    assert_eq!(commands, []);
    tiers
}

pub(crate) fn plan(request: &str, workspace: &str, keys: &[u8]) -> ImportPlan {
    let step = |number: &u8| ImportStep {
        store: name("hub-cache"),
        key: key(*number),
        tokens: BLOCK_TOKENS,
        bytes: BLOCK_BYTES,
    };
    ImportPlan {
        request: name(request),
        reader: reader(workspace, "v1"),
        endpoint: name("runner-1"),
        steps: keys.iter().map(step).collect(),
        limit_us: DurationUs::from_ms(10_000),
    }
}

pub(crate) fn grant(generation: u64) -> PinGrant {
    PinGrant {
        pin: format!("p-{generation}"),
        generation: Generation::new(generation),
        bytes: BLOCK_BYTES,
        crc32c: CRC32C,
        weight_version: name("v1"),
        tier: Tier::Memory,
    }
}

pub(crate) fn pinned(transfer: u64, generation: u64) -> TierEvent {
    TierEvent::Pinned {
        transfer: TransferId::new(transfer),
        result: Ok(grant(generation)),
    }
}

pub(crate) fn imported(transfer: u64) -> TierEvent {
    TierEvent::Imported {
        transfer: TransferId::new(transfer),
        result: Ok(()),
    }
}

/// Formats a command as its kind and the field that the tests compare.
pub(crate) fn brief(command: &TierCommand) -> String {
    match command {
        TierCommand::Pin { transfer, .. } => format!("pin {transfer}"),
        TierCommand::Import { transfer, .. } => format!("import {transfer}"),
        TierCommand::Unpin { pin, .. } => format!("unpin {pin}"),
        TierCommand::Proceed {
            request,
            imported_steps,
            recomputed_steps,
        } => {
            format!("{request} proceeds: {imported_steps} imported, {recomputed_steps} recomputed")
        }
        TierCommand::Reserve { transfer, tier, .. } => format!("reserve {transfer} {tier}"),
        TierCommand::Export { transfer, .. } => format!("export {transfer}"),
        TierCommand::Move { transfer, tier, .. } => format!("move {transfer} {tier}"),
        TierCommand::Free { generation, .. } => format!("free generation {generation}"),
    }
}

pub(crate) fn briefs(commands: &[TierCommand]) -> Vec<String> {
    commands.iter().map(brief).collect()
}
