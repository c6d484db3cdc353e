//! Checks that names are defined once and that every used one is defined.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;

use wisteriahitch_types::Code;

use crate::draft::Draft;
use crate::read::{Place, Placed, ProblemLog, nearest};

/// Checks that every used name is defined.
pub(super) fn check_used(draft: &Draft, log: &ProblemLog<'_>) {
    let (used, defined) = (&draft.used, &draft.defined);
    known(log, "model", &used.models, &defined.models);
    known(log, "adapter", &used.adapters, &defined.adapters);
    known(log, "store", &used.stores, &defined.stores);
    known(log, "service", &used.services, &defined.services);
    known(log, "workspace", &used.workspaces, &defined.workspaces);
    check_zones(draft, log);
}

/// Checks that every name, address and key is defined once; a part of a configuration can be
/// checked for that by itself.
pub(crate) fn check_defined_once(draft: &Draft, log: &ProblemLog<'_>) {
    let defined = &draft.defined;
    once(log, "model", &defined.models);
    once(log, "store", &defined.stores);
    once(log, "service", &defined.services);
    once(log, "endpoint", &defined.endpoints);
    once(log, "workspace", &defined.workspaces);
    once(log, "rule", &defined.rules);
    // Two names for one address would make one VM count, and be ordered about, as two.
    once(log, "address", &defined.addresses);
    // A key in two workspaces would let one customer's callers into the other's cache.
    once(log, "key hash", &defined.key_hashes);
}

fn once<T: Ord + Display>(log: &ProblemLog<'_>, kind: &str, names: &[Placed<T>]) {
    let mut first: BTreeMap<&T, &Place> = BTreeMap::new();
    for name in names {
        if log.is_cut() {
            return;
        }
        let Some(earlier) = first.get(&name.value) else {
            first.insert(&name.value, &name.place);
            continue;
        };
        let (value, place) = (&name.value, log.describe(earlier));
        let message = format!("the {kind} {value} is given before, at {place}");
        log.add(Code::ConfigDuplicateName, &name.place, message);
    }
}

/// Where the site doesn't declare its availability zones, those of endpoints and store VMs count as
/// declared.
fn check_zones(draft: &Draft, log: &ProblemLog<'_>) {
    let (kind, located) = ("availability zone", &draft.located_zones);
    let mut declared = &draft.defined.availability_zones;
    if declared.is_empty() {
        declared = located;
    } else {
        known(log, kind, located, declared);
    }
    known(log, kind, &draft.used.availability_zones, declared);
}

fn known<T: Ord + Display>(
    log: &ProblemLog<'_>,
    kind: &str,
    used: &[Placed<T>],
    defined: &[Placed<T>],
) {
    let names: BTreeSet<&T> = defined.iter().map(|name| &name.value).collect();
    for name in used {
        if names.contains(&name.value) {
            continue;
        }
        if log.is_cut() {
            return;
        }
        let message = unknown(kind, &name.value.to_string(), &names);
        log.add(Code::ConfigUnknownName, &name.place, message);
    }
}

fn unknown<T: Display>(kind: &str, name: &str, names: &BTreeSet<&T>) -> String {
    let names: Vec<String> = names.iter().map(ToString::to_string).collect();
    let hint = nearest(name, names.iter().map(String::as_str));
    let hint = hint.map_or_else(String::new, |known| format!("; did you mean {known:?}?"));
    format!("no {kind} is named {name:?}{hint}")
}
