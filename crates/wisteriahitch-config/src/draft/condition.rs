//! Reads the condition of a rule, `when`.

use std::collections::BTreeMap;

use wisteriahitch_types::{Code, TokenCount};

use super::call::{Method, PathPrefix};
use super::{Draft, names};
use crate::Condition;
use crate::read::TableReader;

const MAX_TOKENS: u64 = 1 << 53;
const LABEL_CHARACTERS: &str = "lower-case letters, digits and -";

pub(super) fn read(table: &TableReader<'_, '_>, draft: &mut Draft) -> Condition {
    let workspaces = table.list("workspaces");
    let models = table.list("models");
    let adapters = table.list("adapters");
    let zones = table.list("availability_zones");
    let methods = table.list("methods");
    let prefixes = table.list("path_prefixes");
    let condition = Condition {
        workspaces: names::values(&workspaces),
        methods: methods.into_iter().map(|m| method_text(m.value)).collect(),
        path_prefixes: prefixes.into_iter().map(|p| prefix_text(p.value)).collect(),
        models: names::values(&models),
        adapters: names::values(&adapters),
        min_prompt_tokens: read_token_count(table, "min_prompt_tokens"),
        max_prompt_tokens: read_token_count(table, "max_prompt_tokens"),
        stream: table.optional("stream"),
        labels: read_labels(table),
        availability_zones: names::values(&zones),
    };
    draft.used.workspaces.extend(workspaces);
    draft.used.models.extend(models);
    draft.used.adapters.extend(adapters);
    draft.used.availability_zones.extend(zones);
    reject_empty_lists(table);
    check_bounds(table, &condition);
    condition
}

fn method_text(Method(text): Method) -> String {
    text
}

fn prefix_text(PathPrefix(text): PathPrefix) -> String {
    text
}

fn read_token_count(table: &TableReader<'_, '_>, key: &'static str) -> Option<TokenCount> {
    table.number(key, 0..=MAX_TOKENS).map(TokenCount::new)
}

fn check_bounds(table: &TableReader<'_, '_>, condition: &Condition) {
    let (Some(low), Some(high)) = (condition.min_prompt_tokens, condition.max_prompt_tokens) else {
        return;
    };
    if low > high {
        let message = format!("`min_prompt_tokens` is {low} and `max_prompt_tokens` is {high}");
        table.add_problem(Code::ConfigContradiction, "min_prompt_tokens", message);
    }
}

/// Reports lists that are present but empty.
///
/// An operator who deletes the last name from `workspaces = ["a"]` expects a rule that matches no
/// workspace, but [`Condition`] treats an empty list as matching every workspace.
fn reject_empty_lists(table: &TableReader<'_, '_>) {
    const LISTS: [&str; 6] = [
        "workspaces",
        "methods",
        "path_prefixes",
        "models",
        "adapters",
        "availability_zones",
    ];
    for key in LISTS {
        if table.list_is_empty(key) {
            let message = "the list is empty; leave the key out to match everything";
            table.add_problem(Code::ConfigBadValue, key, message);
        }
    }
}

fn read_labels(table: &TableReader<'_, '_>) -> BTreeMap<String, String> {
    let Some(labels) = table.table("labels") else {
        return BTreeMap::new();
    };
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    let mut read = BTreeMap::new();
    for (name, value) in labels.entries::<String>() {
        if name.is_empty() || !name.chars().all(is_allowed) {
            let message = format!("the label {name:?} may hold {LABEL_CHARACTERS} only");
            table
                .log()
                .add(Code::ConfigBadValue, &value.location, message);
        }
        read.insert(name, value.value);
    }
    read
}
