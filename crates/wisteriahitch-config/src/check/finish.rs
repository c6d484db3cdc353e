//! Converts a checked draft into a configuration.

use std::collections::BTreeMap;

use crate::Configuration;
use crate::draft::Draft;
use crate::model::ConfigurationIndexes;

pub(super) fn finish(draft: Draft) -> Configuration {
    Configuration {
        availability_zones: draft.availability_zones,
        services: by_name(draft.services, |service| service.name.clone()),
        models: by_name(draft.models, |model| model.name.clone()),
        stores: by_name(draft.stores, |store| store.id.clone()),
        workspaces: by_name(draft.workspaces, |workspace| workspace.id.clone()),
        rules: draft.rules.into_iter().filter_map(|r| r.rule).collect(),
        limits: draft.limits,
        indexes: ConfigurationIndexes::default(),
    }
}

fn by_name<K: Ord, V>(
    entries: impl IntoIterator<Item = V>,
    name: impl Fn(&V) -> K,
) -> BTreeMap<K, V> {
    let pair = |entry: V| (name(&entry), entry);
    entries.into_iter().map(pair).collect()
}
