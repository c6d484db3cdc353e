//! Checks that each name is defined exactly once and that every name used is defined.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;

use wisteriahitch_types::Code;

use crate::draft::Draft;
use crate::read::{Place, Placed, ProblemLog, nearest};

/// Reports names that are used but not defined.
pub(super) fn check_used(draft: &Draft, log: &ProblemLog<'_>) {
    let (used, defined) = (&draft.used, &draft.defined);
    known(log, "model", &used.models, &defined.models);
    known(log, "adapter", &used.adapters, &defined.adapters);
    known(log, "store", &used.stores, &defined.stores);
    known(log, "service", &used.services, &defined.services);
    known(log, "workspace", &used.workspaces, &defined.workspaces);
    check_zones(draft, log);
}

/// Reports names, addresses and key hashes that are defined more than once. This check needs no
/// other sections, so it also applies to a submission that holds only some of them.
pub(crate) fn check_defined_once(draft: &Draft, log: &ProblemLog<'_>) {
    let defined = &draft.defined;
    once(log, "model", &defined.models);
    once(log, "store", &defined.stores);
    once(log, "service", &defined.services);
    once(log, "endpoint", &defined.endpoints);
    once(log, "workspace", &defined.workspaces);
    once(log, "rule", &defined.rules);
    // One address under two names would count one VM twice, and orders would treat it as two VMs.
    once(log, "address", &defined.addresses);
    // A key in two workspaces would give one customer's callers access to the other's cache.
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

/// Reports availability zones that are not declared. If the site declares none, the zones of its
/// endpoints and store VMs count as declared.
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
