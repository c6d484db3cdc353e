//! Renders the locations of the cache blocks of a prompt.

use serde_json::Value;

use super::field;
use super::field::value_text;

/// Renders one line per block, in the order of the prompt.
pub fn locate(value: &Value) -> String {
    let blocks = value["blocks"].as_array().map_or(&[][..], Vec::as_slice);
    if blocks.is_empty() {
        return "the prompt is shorter than one block\n".to_owned();
    }
    blocks.iter().map(block).collect()
}

fn block(block: &Value) -> String {
    format!(
        "{} {} tokens: endpoints {}, stores {}\n",
        field(block, "key"),
        field(block, "tokens"),
        field(block, "endpoints"),
        stores(&block["stores"]),
    )
}

/// Renders the stores, each of which is a pair of its name and the storage tier.
fn stores(stores: &Value) -> String {
    let pairs = stores.as_array().map_or(&[][..], Vec::as_slice);
    if pairs.is_empty() {
        return value_text(stores);
    }
    let store_and_tier =
        |pair: &Value| format!("{} ({})", value_text(&pair[0]), value_text(&pair[1]));
    let pairs: Vec<String> = pairs.iter().map(store_and_tier).collect();
    pairs.join(" ")
}
