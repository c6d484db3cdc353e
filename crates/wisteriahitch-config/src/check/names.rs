//! Checks that each name is defined exactly once and that every name used is defined.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;

use wisteriahitch_types::Code;

use crate::draft::Draft;
use crate::read::{Located, Location, ProblemLog, nearest_name};

/// Reports names that are used but not defined.
pub(super) fn check_used(draft: &Draft, log: &ProblemLog<'_>) {
    let (used, defined) = (&draft.used, &draft.defined);
    check_known(log, "model", &used.models, &defined.models);
    check_known(log, "adapter", &used.adapters, &defined.adapters);
    check_known(log, "store", &used.stores, &defined.stores);
    check_known(log, "service", &used.services, &defined.services);
    check_known(log, "workspace", &used.workspaces, &defined.workspaces);
    check_zones(draft, log);
}

/// Reports names, addresses and key hashes that are defined more than once. This check needs no
/// other sections, so it also applies to a submission that holds only some of them.
pub(crate) fn check_defined_once(draft: &Draft, log: &ProblemLog<'_>) {
    let defined = &draft.defined;
    check_unique(log, "model", &defined.models);
    check_unique(log, "store", &defined.stores);
    check_unique(log, "service", &defined.services);
    check_unique(log, "endpoint", &defined.endpoints);
    check_unique(log, "workspace", &defined.workspaces);
    check_unique(log, "rule", &defined.rules);
    // One address under two names would count one VM twice, and orders would treat it as two VMs.
    check_unique(log, "address", &defined.addresses);
    // A key in two workspaces would give one customer's callers access to the other's cache.
    check_unique(log, "key hash", &defined.key_hashes);
}

fn check_unique<T: Ord + Display>(log: &ProblemLog<'_>, kind: &str, names: &[Located<T>]) {
    let mut first: BTreeMap<&T, &Location> = BTreeMap::new();
    for name in names {
        if log.is_truncated() {
            return;
        }
        let Some(earlier) = first.get(&name.value) else {
            first.insert(&name.value, &name.location);
            continue;
        };
        let (value, location) = (&name.value, log.describe(earlier));
        let message = format!("the {kind} {value} is given before, at {location}");
        log.add(Code::ConfigDuplicateName, &name.location, message);
    }
}

/// Reports availability zones that are not declared. If the site declares none, the zones of its
/// endpoints and store VMs count as declared.
fn check_zones(draft: &Draft, log: &ProblemLog<'_>) {
    let (kind, assigned) = ("availability zone", &draft.endpoint_and_store_zones);
    let mut declared = &draft.defined.availability_zones;
    if declared.is_empty() {
        declared = assigned;
    } else {
        check_known(log, kind, assigned, declared);
    }
    check_known(log, kind, &draft.used.availability_zones, declared);
}

fn check_known<T: Ord + Display>(
    log: &ProblemLog<'_>,
    kind: &str,
    used: &[Located<T>],
    defined: &[Located<T>],
) {
    let names: BTreeSet<&T> = defined.iter().map(|name| &name.value).collect();
    for name in used {
        if names.contains(&name.value) {
            continue;
        }
        if log.is_truncated() {
            return;
        }
        let message = unknown_name_message(kind, &name.value.to_string(), &names);
        log.add(Code::ConfigUnknownName, &name.location, message);
    }
}

fn unknown_name_message<T: Display>(kind: &str, name: &str, names: &BTreeSet<&T>) -> String {
    let names: Vec<String> = names.iter().map(ToString::to_string).collect();
    let hint = nearest_name(name, names.iter().map(String::as_str));
    let hint = hint.map_or_else(String::new, |known| format!("; did you mean {known:?}?"));
    format!("no {kind} is named {name:?}{hint}")
}
