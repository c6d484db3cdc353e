//! Reads `[[services]]` with their endpoints.

use toml::de::DeValue;
use wisteriahitch_types::Code;

use super::call::{MethodOrAny, PathPrefix};
use super::store::{read_address, read_zone};
use super::{Draft, names};
use crate::read::{FromValue, TableReader};
use crate::{CallPattern, Endpoint, Service, ServiceKind};

impl FromValue for ServiceKind {
    fn from_value(value: &DeValue<'_>) -> Result<Self, String> {
        let text = String::from_value(value)?;
        match text.as_str() {
            "engine" => Ok(ServiceKind::Engine),
            "plain" => Ok(ServiceKind::Plain),
            _ => Err(format!("{text:?} is neither \"engine\" nor \"plain\"")),
        }
    }
}

pub(super) fn read_all(top: &TableReader<'_, '_>, draft: &mut Draft) {
    for table in top.tables("services") {
        let service = read(&table, draft);
        draft.services.extend(service);
        table.finish();
    }
}

fn read(table: &TableReader<'_, '_>, draft: &mut Draft) -> Option<Service> {
    let name = table.required_located("name");
    draft.defined.services.extend(name.clone());
    let kind = table.required("kind");
    let models = table.list("models");
    let stores = table.list("stores");
    let repeatable = read_repeatable(table);
    let endpoints = read_endpoints(table, draft);
    let service = Service {
        name: name?.value,
        kind: kind?,
        models: names::values(&models),
        stores: names::values(&stores),
        repeatable,
        endpoints,
    };
    draft.used.models.extend(models);
    draft.used.stores.extend(stores);
    check_kind(table, service.kind);
    Some(service)
}

fn check_kind(table: &TableReader<'_, '_>, kind: ServiceKind) {
    match kind {
        ServiceKind::Engine => {
            if table.require_key("models") && table.list_is_empty("models") {
                table.add_problem(Code::ConfigMissingKey, "models", "the list is empty");
            }
            reject_key(
                table,
                "repeatable",
                "of an engine; it is for plain services",
            );
        }
        ServiceKind::Plain => {
            reject_key(table, "models", "of a plain service; it is for engines");
        }
    }
}

fn reject_key(table: &TableReader<'_, '_>, key: &str, reason: &str) {
    if table.has_key(key) {
        let message = format!("`{key}` has no meaning for endpoints {reason}");
        table.add_problem(Code::ConfigContradiction, key, message);
    }
}

fn read_repeatable(table: &TableReader<'_, '_>) -> Vec<CallPattern> {
    let mut patterns: Vec<CallPattern> = Vec::new();
    for entry in table.tables("repeatable") {
        let method = entry.required("method");
        let prefix = entry.required("path_prefix");
        let location = entry.location().clone();
        entry.finish();
        let (Some(MethodOrAny(method)), Some(PathPrefix(path_prefix))) = (method, prefix) else {
            continue;
        };
        let pattern = CallPattern {
            method,
            path_prefix,
        };
        if patterns.contains(&pattern) {
            let message = "the same call stands in the list twice";
            table
                .log()
                .add(Code::ConfigDuplicateName, &location, message);
        }
        patterns.push(pattern);
    }
    patterns
}

fn read_endpoints(table: &TableReader<'_, '_>, draft: &mut Draft) -> Vec<Endpoint> {
    if table.require_key("endpoints") && table.list_is_empty("endpoints") {
        table.add_problem(Code::ConfigMissingKey, "endpoints", "the list is empty");
    }
    let mut endpoints = Vec::new();
    for entry in table.tables("endpoints") {
        endpoints.extend(read_endpoint(&entry, draft));
        entry.finish();
    }
    endpoints
}

fn read_endpoint(entry: &TableReader<'_, '_>, draft: &mut Draft) -> Option<Endpoint> {
    let id = entry.required_located("id");
    draft.defined.endpoints.extend(id.clone());
    let address = read_address(entry, draft);
    let zone = read_zone(entry, draft);
    let checks_fence = entry.required("checks_fence");
    Some(Endpoint {
        id: id?.value,
        address: address?,
        availability_zone: zone?,
        checks_fence: checks_fence?,
    })
}
