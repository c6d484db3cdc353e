//! Status of the site as this daemon sees it.

use std::net::SocketAddr;

use serde_json::{Value, json};
use wisteriahitch_config::Configuration;

use crate::shared::Shared;

/// Renders daemons with their configuration versions, endpoints, stores and the rollout.
pub(crate) fn status(shared: &Shared) -> Value {
    let in_force = shared.in_force.load_full();
    let version = in_force.as_ref().map(|in_force| in_force.version);
    let daemons: Vec<Value> = {
        let members = shared.fleet.members.lock();
        let row = |member: &wisteriahitch_core::fleet::Member| {
            json!({
                "daemon": member.daemon,
                "state": member.state,
                "config_version": member.config_version,
                "availability_zone": member.availability_zone,
            })
        };
        members.members().map(row).collect()
    };
    let empty = Configuration::default();
    let configuration = in_force
        .as_ref()
        .map_or(&empty, |in_force| &in_force.configuration);
    let rollout = rollout(shared, configuration);
    json!({
        "daemon": shared.settings.id,
        "state": if shared.is_draining() { "draining" } else { "serving" },
        "config_version": version,
        "daemons": daemons,
        "endpoints": endpoints(shared, configuration),
        "stores": stores(shared, configuration),
        "rollout": rollout,
    })
}

fn endpoints(shared: &Shared, configuration: &Configuration) -> Vec<Value> {
    let router = shared.router.lock();
    let services = configuration.services.values();
    let rows = services.flat_map(|service| {
        service.endpoints.iter().map(|endpoint| {
            let report = router.endpoints.get_report(&endpoint.id);
            let versions = report.map(|report| {
                let models = report.models.iter();
                models
                    .map(|loaded| format!("{}@{}", loaded.model, loaded.weight_version))
                    .collect::<Vec<_>>()
            });
            json!({
                "endpoint": endpoint.id,
                "service": service.name,
                "state": router.endpoints.get_state(&endpoint.id),
                "versions": versions,
                "running": report.map(|report| report.running),
            })
        })
    });
    rows.collect()
}

fn stores(shared: &Shared, configuration: &Configuration) -> Vec<Value> {
    shared.tiers.with(|tiers| {
        let rows = configuration.stores.values().map(|store| {
            let state = tiers.stores().get(&store.id);
            let is_reachable = state.is_some_and(|state| state.is_reachable);
            json!({
                "store": store.id,
                "state": if is_reachable { "seen" } else { "unseen" },
                "incarnation": tiers.blocks().incarnation(&store.id),
            })
        });
        rows.collect()
    })
}

/// Counts the models at endpoints that run the configured weight version, and those that don't yet.
fn rollout(shared: &Shared, configuration: &Configuration) -> Value {
    let router = shared.router.lock();
    let (mut done, mut pending) = (0, 0);
    for service in configuration.services.values() {
        for endpoint in &service.endpoints {
            for model in service
                .models
                .iter()
                .filter_map(|name| configuration.models.get(name))
            {
                let ready = router
                    .endpoints
                    .get_ready_version(&endpoint.id, &model.name);
                match ready.as_ref() == Some(&model.weight_version) {
                    true => done += 1,
                    false => pending += 1,
                }
            }
        }
    }
    drop(router);
    json!({
        "done": done,
        "pending": pending,
        "progress": *shared.orders.progress.lock(),
        "ordered_by": find_orderer(shared),
    })
}

/// Returns the operators' address of the daemon that issues the orders, if it is known.
///
/// Only that daemon knows the progress of a rollout and whether it has failed.
fn find_orderer(shared: &Shared) -> Option<SocketAddr> {
    let leases = shared.orders.leases.lock().status();
    let holder = leases.first()?.holder?;
    let members = shared.fleet.members.lock();
    Some(members.by_incarnation(holder)?.addresses.operator)
}
