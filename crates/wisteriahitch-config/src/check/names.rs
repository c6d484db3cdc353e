//! Checks that names are defined once and that every used one is defined.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;

use wisteriahitch_types::Code;

use crate::draft::Draft;
use crate::read::{Place, Placed, ProblemLog, nearest};

pub(super) fn check(draft: &Draft, log: &ProblemLog<'_>) {
    check_defined_once(draft, log);
    check_used(draft, log);
}

fn check_defined_once(draft: &Draft, log: &ProblemLog<'_>) {
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
        let Some(earlier) = first.get(&name.value) else {
            first.insert(&name.value, &name.place);
            continue;
        };
        let (line, _) = log.position(earlier);
        let value = &name.value;
        let place = &earlier.path;
        let message = format!("the {kind} {value} is given before, at {place} in line {line}");
        log.add(Code::ConfigDuplicateName, &name.place, message);
    }
}

fn check_used(draft: &Draft, log: &ProblemLog<'_>) {
    let (used, defined) = (&draft.used, &draft.defined);
    known(log, "model", &used.models, &defined.models);
    known(log, "adapter", &used.adapters, &defined.adapters);
    known(log, "store", &used.stores, &defined.stores);
    known(log, "service", &used.services, &defined.services);
    known(log, "workspace", &used.workspaces, &defined.workspaces);
    if !defined.availability_zones.is_empty() {
        let zones = &defined.availability_zones;
        known(log, "availability zone", &used.availability_zones, zones);
    }
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
