//! Reads `[[workspaces]]`.

use wisteriahitch_types::{ByteCount, TokenRate};

use super::store::MAX_EXACT_JSON_INTEGER;
use super::{Draft, names};
use crate::Workspace;
use crate::read::TableReader;

/// Key of the list of workspaces, and the only key in the section of a workspace.
pub(crate) const WORKSPACES_KEY: &str = "workspaces";

const DEFAULT_WEIGHT: u32 = 1;
const MAX_WEIGHT: u32 = 10_000;
const DEFAULT_MAX_QUEUED: u32 = 100;
const MAX_QUEUED: u32 = 100_000;
const MAX_REQUESTS_PER_S: u32 = 1_000_000;

pub(super) fn read_all(top: &TableReader<'_, '_>, draft: &mut Draft) {
    for table in top.tables(WORKSPACES_KEY) {
        let workspace = read(&table, draft);
        draft.workspaces.extend(workspace);
        table.finish();
    }
}

fn read(table: &TableReader<'_, '_>, draft: &mut Draft) -> Option<Workspace> {
    let id = table.required_located("id");
    draft.defined.workspaces.extend(id.clone());
    let key_hashes = table.required_list("key_hashes");
    let weight = table.number_u32("weight", 1..=MAX_WEIGHT);
    let requests_per_s = table.number_u32("requests_per_s", 1..=MAX_REQUESTS_PER_S);
    let prompt_tokens_per_s = table.number("prompt_tokens_per_s", 1..=MAX_EXACT_JSON_INTEGER);
    let max_queued = table.number_u32("max_queued", 1..=MAX_QUEUED);
    let store_bytes = table.required_number("store_bytes", 0..=MAX_EXACT_JSON_INTEGER);
    let hashes = names::values(&key_hashes);
    draft.defined.key_hashes.extend(key_hashes);
    Some(Workspace {
        id: id?.value,
        key_hashes: hashes,
        weight: weight.unwrap_or(DEFAULT_WEIGHT),
        requests_per_s,
        prompt_tokens_per_s: prompt_tokens_per_s.map(TokenRate::new),
        max_queued: max_queued.unwrap_or(DEFAULT_MAX_QUEUED),
        store_bytes: ByteCount::new(store_bytes?),
    })
}
