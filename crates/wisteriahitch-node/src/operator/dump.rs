//! The debug dump of a daemon's state.

use serde_json::{Value, json};

use crate::shared::Shared;

/// Renders the daemon's whole state without secrets, prompts and answers.
pub(crate) fn state(shared: &Shared) -> Value {
    let now = shared.clock.now();
    let in_force = shared.in_force.load_full();
    let version = in_force.as_ref().map(|in_force| in_force.version);
    json!({
        "daemon": shared.settings.id,
        "incarnation": shared.incarnation,
        "uptime_us": now,
        "is_draining": shared.is_draining(),
        "config_version": version,
        "availability_zone": shared.settings.availability_zone,
        "listen": shared.settings.listen,
        "limits": shared.settings.limits,
        "router": shared.router.lock().snapshot(),
        "tiers": shared.tiers.with(|tiers| tiers.snapshot(now)),
        "admission": shared.admission.snapshot(),
        "once": shared.once.lock().table.snapshot(),
        "members": *shared.fleet.members.lock(),
        "orders": shared.orders.snapshot(),
        "platform_calls": shared.clients.platform.counts(),
        "config": *shared.config.replica.lock().table(),
    })
}
