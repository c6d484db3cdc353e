//! How daemons find each other: each registers in the platform's store once.

use std::collections::HashSet;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use wisteriahitch_types::{DurationUs, Incarnation};
use wisteriahitch_wire::object_store::{ObjectRole, Revision, StoredObject, UnreadableKind};
use wisteriahitch_wire::platform::{PlatformError, PlatformErrorKind};

use super::shared::Shared;
use super::store_updates::{note_skipped, note_unreadable};
use crate::observe::Event;

/// Pause after a call of the store failed.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Time between two looks at the registrations. Daemons tell each other of themselves; the list
/// only heals what that missed.
const LIST_INTERVAL: Duration = Duration::from_secs(5);

/// Silence of a registered daemon after which its registration is removed by another one.
const REMOVE_AFTER_US: DurationUs = DurationUs::from_ms(20_000);

/// Unreadable registrations that are remembered as told of.
const MAX_TOLD: usize = 1_000;

/// What a daemon's registration holds.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct Registration {
    ip: Ipv4Addr,
    zone: String,
    link_mbps: u16,
    incarnation: Incarnation,
}

/// Registers this daemon and learns of the others, for as long as the process lives.
pub(crate) async fn run_registration(shared: Arc<Shared>) {
    while let Err(error) = register(&shared).await {
        shared.log.write(&Event::Failure {
            what: "registering this daemon",
            detail: error.to_string(),
        });
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    // Two daemons that start at once both write first, so that at least one sees the other.
    let mut is_first = true;
    let mut told = HashSet::new();
    loop {
        match shared
            .borders
            .store
            .list(ObjectRole::Members, !is_first)
            .await
        {
            Ok(listing) => {
                is_first = false;
                note_skipped(&shared, ObjectRole::Members, &listing.skipped);
                learn(&shared, listing.objects, &mut told).await;
                shared.peers.others_listed.cancel();
                tokio::time::sleep(LIST_INTERVAL).await;
            }
            Err(error) => {
                shared.log.write(&Event::Failure {
                    what: "listing the daemons",
                    detail: error.to_string(),
                });
                // Whoever has seen the others once hears of them; the list only heals what that missed.
                let pause = if is_first {
                    RETRY_PAUSE * 2
                } else {
                    LIST_INTERVAL
                };
                tokio::time::sleep(pause).await;
            }
        }
    }
}

fn read(content: Value) -> Result<Registration, (UnreadableKind, String)> {
    let registration: Registration = serde_json::from_value(content)
        .map_err(|error| (UnreadableKind::Field, error.to_string()))?;
    let ip = registration.ip;
    // Messages would go there several times a second.
    match ip.is_unspecified() || ip.is_multicast() || ip.is_broadcast() {
        true => Err((UnreadableKind::Value, format!("no VM has the address {ip}"))),
        false => Ok(registration),
    }
}

async fn register(shared: &Shared) -> Result<(), PlatformError> {
    let store = &shared.borders.store;
    let name = shared.settings.id.as_str();
    let registration = Registration {
        ip: shared.settings.ip,
        zone: shared.settings.zone.to_string(),
        link_mbps: shared.link_mbps(),
        incarnation: shared.incarnation,
    };
    let content = serde_json::to_value(&registration).unwrap_or_default();
    let created = store
        .create(ObjectRole::Members, name, content.clone())
        .await;
    match created {
        Err(error) if error.kind() == PlatformErrorKind::AlreadyExists => {}
        created => return created.map(|_| ()),
    }
    let Some(old) = store.get(ObjectRole::Members, name).await? else {
        return Ok(());
    };
    let replaced = store
        .replace(ObjectRole::Members, name, content, old.revision)
        .await;
    replaced.map(|_| ())
}

/// Takes over who is registered. Registrations that can't be read name nobody, and are told of once
/// each: `told` keeps their names and revisions, and is emptied before it grows large.
async fn learn(
    shared: &Shared,
    objects: Vec<StoredObject>,
    told: &mut HashSet<(String, Revision)>,
) {
    let now = shared.now();
    if told.len() > MAX_TOLD {
        told.clear();
    }
    for object in objects {
        let registration = match read(object.content) {
            Ok(registration) => registration,
            Err((kind, detail)) => {
                if told.insert((object.name.clone(), object.revision)) {
                    note_unreadable(shared, ObjectRole::Members, &object.name, kind, detail);
                }
                continue;
            }
        };
        if registration.ip == shared.settings.ip {
            continue;
        }
        let silence = shared.peers.table().silence(registration.ip, now);
        let is_told = shared.peers.table().is_known_indirectly(registration.ip);
        if !is_told && silence.is_some_and(|silence| silence > REMOVE_AFTER_US) {
            let role = ObjectRole::Members;
            // Another daemon may have removed it first, or its own may have just come back.
            let _ = shared
                .borders
                .store
                .delete(role, &object.name, object.revision)
                .await;
        } else {
            let place = Some((registration.zone, registration.link_mbps));
            let mut peers = shared.peers.table();
            peers.record_address(registration.ip, place, now);
            peers.record_registration(registration.ip, now);
        }
    }
    shared.peers.hurry.notify_one();
}
