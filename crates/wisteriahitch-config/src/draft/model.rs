//! Reads `[[models]]`.

use wisteriahitch_types::{ByteCount, Code, ModelName, TokenCount};

use super::{Draft, names};
use crate::Model;
use crate::read::{Located, TableReader};

/// The sites that this system was built for move work in pieces of about 2,000 tokens.
const DEFAULT_PIECE_TOKENS: u64 = 2_000;
const MAX_PIECE_TOKENS: u64 = 1_000_000;
const MAX_PROMPT_TOKENS: u64 = 100_000_000;
const MAX_BYTES_PER_TOKEN: u64 = 1 << 30;

pub(super) fn read_all(top: &TableReader<'_, '_>, draft: &mut Draft) {
    for table in top.tables("models") {
        let name = table.required_located("name");
        draft.defined.models.extend(name.clone());
        let model = read(&table, name, draft);
        draft.models.extend(model);
        table.finish();
    }
}

fn read(
    table: &TableReader<'_, '_>,
    name: Option<Located<ModelName>>,
    draft: &mut Draft,
) -> Option<Model> {
    let weight_version = table.required("weight_version");
    let adapters = table.list("adapters");
    let piece_tokens = table
        .number("piece_tokens", 1..=MAX_PIECE_TOKENS)
        .unwrap_or(DEFAULT_PIECE_TOKENS);
    let bytes_per_token = table.required_number("bytes_per_token", 1..=MAX_BYTES_PER_TOKEN);
    let max_prompt_tokens = table.required_number("max_prompt_tokens", 1..=MAX_PROMPT_TOKENS);
    if max_prompt_tokens.is_some_and(|longest| longest < piece_tokens) {
        let message = "the longest prompt is shorter than one piece, so nothing is ever cached";
        table.add_problem(Code::ConfigContradiction, "max_prompt_tokens", message);
    }
    let adapter_names = names::values(&adapters);
    draft.defined.adapters.extend(adapters);
    Some(Model {
        name: name?.value,
        weight_version: weight_version?,
        adapters: adapter_names,
        piece_tokens: TokenCount::new(piece_tokens),
        bytes_per_token: ByteCount::new(bytes_per_token?),
        max_prompt_tokens: TokenCount::new(max_prompt_tokens?),
    })
}
