//! Questions to other daemons, by HTTP: for what gossip is too small or has not brought.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use wisteriahitch_types::ByteCount;
use wisteriahitch_wire::connection_pool::Connection;
use wisteriahitch_wire::object_store::ObjectRole;

use super::shared::Shared;
use super::store_updates::apply_delta;
use super::watch_state::{Delta, kind_name};
use crate::decide::parts::EngineMemory;
use crate::observe::Event;

/// Longest wait for a peer's objects.
const PEER_TIMEOUT: Duration = Duration::from_millis(700);

/// Largest answer of a peer.
const PEER_ANSWER_BYTES: ByteCount = ByteCount::new(8 * 1024 * 1024);

/// Start of the paths of peers' objects.
pub(super) const OBJECTS_PATH: &str = "/v1/objects/";

/// Start of the paths of what peers know of part stores.
pub(super) const PARTS_PATH: &str = "/v1/parts/";

/// Path of what peers believe that engines keep.
pub(super) const ENGINES_PATH: &str = "/v1/engine-memory";

/// Asks a peer for all that a part store keeps.
pub(super) async fn ask_parts(shared: Arc<Shared>, store: SocketAddr, ip: Ipv4Addr) {
    /// Life of the store, and keys of its parts with their sizes.
    type Kept = Option<(u64, Vec<(u64, u64)>)>;

    let path = format!("{PARTS_PATH}{store}");
    match ask::<Kept>(&shared, ip, &path).await {
        Ok(Some((epoch, kept))) => {
            let now = shared.now();
            shared
                .part_stores
                .lock()
                .apply_snapshot(store, epoch, &kept, now);
        }
        Ok(None) => {}
        Err(detail) => shared.log.write(&Event::Failure {
            what: "asking a peer for the parts of a store",
            detail: format!("{ip}: {detail}"),
        }),
    }
    shared
        .peers
        .asked_stores
        .lock()
        .retain(|asked| *asked != store);
}

/// Takes over from a peer what it knows more of a kind of objects.
pub(super) async fn catch_up(shared: Arc<Shared>, role: ObjectRole, ip: Ipv4Addr) {
    take_over(&shared, role, ip).await;
    shared.watches.caught_up(role);
}

async fn take_over(shared: &Arc<Shared>, role: ObjectRole, ip: Ipv4Addr) {
    let since = shared.watches.changed_revision(role);
    let path = format!("{OBJECTS_PATH}{}?since={}", kind_name(role), since.0);
    match ask::<Delta>(shared, ip, &path).await {
        Ok(delta) => {
            let revision = delta.revision.0;
            apply_delta(shared, role, delta);
            if shared.peers.follows_stores() {
                shared.log.write(&Event::CaughtUp {
                    kind: kind_name(role),
                    from: ip.to_string(),
                    revision,
                });
            }
        }
        Err(detail) => shared.log.write(&Event::Failure {
            what: "asking a peer for objects",
            detail: format!("{ip}: {detail}"),
        }),
    }
}

/// What a daemon tells one that has just started of the engines.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Takeover {
    /// Time since the sender's start.
    pub(super) up_ms: u64,
    pub(super) engines: Vec<EngineMemory>,
}

/// Asks a daemon what it knows of the engines.
pub(super) async fn ask_takeover(shared: &Shared, ip: Ipv4Addr) -> Result<Takeover, String> {
    ask(shared, ip, ENGINES_PATH).await
}

async fn ask<T: DeserializeOwned>(shared: &Shared, ip: Ipv4Addr, path: &str) -> Result<T, String> {
    let to = SocketAddr::from((ip, shared.settings.listen.peer_port));
    let text = |error: wisteriahitch_wire::http_client::HttpError| error.to_string();
    let mut connection = Connection::open(to, PEER_TIMEOUT).await.map_err(text)?;
    let request = Request::get(path)
        .header(http::header::HOST, to.to_string())
        .body(Bytes::new())
        .map_err(|error| error.to_string())?;
    let fetched = connection.fetch(request, PEER_TIMEOUT, PEER_ANSWER_BYTES);
    let response = fetched.await.map_err(text)?;
    if response.status() != StatusCode::OK {
        return Err(response.status().to_string());
    }
    serde_json::from_slice(response.body()).map_err(|error| error.to_string())
}
