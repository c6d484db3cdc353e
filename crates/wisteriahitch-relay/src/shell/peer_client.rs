//! HTTP requests to other daemons, for data that is too large for gossip or that gossip didn't
//! deliver.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use wisteriahitch_wire::object_store::{ObjectRole, Revision};
use wisteriahitch_wire::transfer::TransferProgress;
use wisteriahitch_wire::url_text;

use super::compression::MIN_COMPRESSED_LEN;
use super::peer_answer::{PeerAnswer, PeerError};
use super::shared::Shared;
use super::store_updates::apply_delta;
use super::watch_state::{ObjectDelta, kind_name};
use crate::decide::parts::EngineMemory;
use crate::decide::stream_versions::OriginAnswer;
use crate::observe::Event;

/// Timeout for connecting to a peer and until its response begins, each.
pub const PEER_REQUEST_TIMEOUT: Duration = Duration::from_millis(700);

/// Time after which a busy peer is asked again: a transfer to another daemon over a narrow link.
const BUSY_PEER_RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Number of refusals after which the objects are sought elsewhere, about two seconds.
const MAX_REFUSALS: usize = 12;

/// Prefix of the paths under which peers serve the objects of a role.
pub(super) const PEER_OBJECTS_PATH: &str = "/v1/objects/";

/// Query parameter with the maximum number of objects in a page.
pub(super) const PAGE_LEN_PARAMETER: &str = "max";

/// Query parameter with the name after which a page starts.
pub(super) const PAGE_START_PARAMETER: &str = "after";

/// Number of objects in a page, which takes about a tenth of a second over a link of 20 Mbit/s.
const PAGE_LEN: usize = 500;

/// Header of a compressed answer with the age of its objects, in milliseconds.
pub(super) const OBJECTS_AGE_HEADER: &str = "wisteriahitch-objects-age-ms";

/// Prefix of the paths under which peers serve the contents of part stores.
pub(super) const PEER_PARTS_PATH: &str = "/v1/parts/";

/// Path under which peers serve what they know of the engines' caches.
pub(super) const ENGINE_MEMORY_PATH: &str = "/v1/engine-memory";

/// Fetches the complete contents of a part store from a peer.
pub(super) async fn fetch_store_parts(shared: Arc<Shared>, store: SocketAddr, ip: Ipv4Addr) {
    /// Epoch of the store, and the keys of its parts with their sizes in tokens.
    type StoreParts = Option<(u64, Vec<(u64, u64)>)>;

    let path = format!("{PEER_PARTS_PATH}{store}");
    match get_json::<StoreParts>(&shared, ip, &path).await {
        Ok(Some((epoch, parts))) => {
            let now = shared.now();
            shared
                .part_stores
                .lock()
                .apply_snapshot(store, epoch, &parts, now);
        }
        Ok(None) => {}
        Err(detail) => shared.log.write(&Event::Failure {
            what: "fetching the contents of a part store from a peer",
            detail: format!("{ip}: {detail}"),
        }),
    }
    shared
        .peers
        .pending_store_fetches
        .lock()
        .retain(|asked| *asked != store);
}

/// Fetches the objects of a role that are newer than the known ones, from `ip` or, if that is busy or
/// fails, from other peers that have them.
pub(super) async fn catch_up(shared: Arc<Shared>, role: ObjectRole, ip: Ipv4Addr) {
    let own_ip = shared.settings.ip;
    let mut source = Some(ip);
    let (mut refusals, mut is_referred) = (0, false);
    let mut is_ok = false;
    while let Some(ip) = source {
        let failure = match fetch_changes(&shared, role, ip).await {
            Ok(()) => {
                is_ok = true;
                break;
            }
            Err(error) => error,
        };
        let is_refused = matches!(failure, PeerError::Busy | PeerError::Referred(_));
        refusals += usize::from(is_refused);
        source = match failure {
            PeerError::Referred(holder) if !is_referred && refusals <= MAX_REFUSALS => Some(holder),
            PeerError::Busy | PeerError::Referred(_) if refusals <= MAX_REFUSALS => {
                tokio::time::sleep(BUSY_PEER_RETRY_INTERVAL).await;
                let best = shared.watches.best_source(role, own_ip, shared.now());
                best.or(Some(ip))
            }
            _ => {
                log_failed_fetch(&shared, ip, &failure);
                shared.watches.next_source(role, ip, own_ip, shared.now())
            }
        };
        // A peer that was referred to and refers further is as busy as the first one.
        is_referred = matches!(failure, PeerError::Referred(_)) && !is_referred;
    }
    shared.watches.finish_catch_up(role, is_ok);
}

fn log_failed_fetch(shared: &Shared, ip: Ipv4Addr, error: &PeerError) {
    shared.log.write(&Event::Failure {
        what: "fetching objects from a peer",
        detail: format!("{ip}: {error}"),
    });
}

/// Fetches changes from a peer and applies them.
async fn fetch_changes(
    shared: &Arc<Shared>,
    role: ObjectRole,
    ip: Ipv4Addr,
) -> Result<(), PeerError> {
    let asked_at = shared.now();
    let since = shared.watches.changed_revision(role);
    let delta = match since == Revision::default() {
        true => fetch_all(shared, role, ip).await?,
        false => {
            let path = format!(
                "{PEER_OBJECTS_PATH}{}?since={}",
                kind_name(role),
                since.get()
            );
            get_objects(shared, role, ip, &path).await?
        }
    };
    let revision = delta.revision.number();
    apply_delta(shared, role, delta, asked_at);
    if shared.peers.follows_stores() {
        shared.log.write(&Event::CaughtUp {
            kind: kind_name(role),
            from: ip.to_string(),
            revision,
        });
    }
    Ok(())
}

/// Fetches all objects of a role page by page. A single response would need several megabytes on
/// both sides, and time out over a narrow link.
async fn fetch_all(
    shared: &Shared,
    role: ObjectRole,
    ip: Ipv4Addr,
) -> Result<ObjectDelta, PeerError> {
    let failed = |detail: String| PeerError::Failed(detail);
    let path = format!(
        "{PEER_OBJECTS_PATH}{}?since=0&{PAGE_LEN_PARAMETER}={PAGE_LEN}",
        kind_name(role)
    );
    let mut all = get_objects(shared, role, ip, &path).await?;
    while all.has_more {
        let last = all.objects.last().map(|object| object.name.as_str());
        let missing = || failed("a page without objects that isn't the last".to_owned());
        let last = url_text::encode(last.ok_or_else(missing)?.as_bytes());
        let path = format!("{path}&{PAGE_START_PARAMETER}={last}");
        let page = get_objects(shared, role, ip, &path).await?;
        all.has_more = page.has_more;
        all.objects.extend(page.objects);
    }
    Ok(all)
}

/// What a daemon sends to a newly started one about the engines' caches.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct EngineMemorySnapshot {
    /// Uptime of the sender, in milliseconds.
    pub(super) up_ms: u64,
    pub(super) engines: Vec<EngineMemory>,
}

/// Fetches from a peer what it knows of the engines' caches.
pub(super) async fn fetch_engine_memory_snapshot(
    shared: &Shared,
    ip: Ipv4Addr,
) -> Result<EngineMemorySnapshot, PeerError> {
    get_json(shared, ip, ENGINE_MEMORY_PATH).await
}

/// Asks a peer for the origin of a stream. Returns `None` if it doesn't answer in time; the other
/// peers that are asked at the same time make up for it, and the caller logs how many answered.
pub(super) async fn fetch_origin(
    shared: &Shared,
    ip: Ipv4Addr,
    path: &str,
    timeout: Duration,
) -> Option<OriginAnswer> {
    get_json_within(shared, ip, path, timeout).await.ok()
}

/// Fetches objects of a role from a peer. If the transfer of a compressed answer breaks off, the next
/// one continues it, from this peer or another one.
async fn get_objects(
    shared: &Shared,
    role: ObjectRole,
    ip: Ipv4Addr,
    path: &str,
) -> Result<ObjectDelta, PeerError> {
    let started_at = shared.now();
    let mut answer = shared.watches.take_partial_answer(role, path);
    let resumed_at = answer.len();
    let progress = shared.watches.state_of(role).lock().peer_answer.clone();
    let received = answer.receive(shared, ip, PEER_REQUEST_TIMEOUT, &progress);
    let headers = match received.await {
        Ok(headers) => headers,
        Err(error) => {
            shared.watches.keep_partial_answer(role, answer);
            return Err(error);
        }
    };
    if answer.len() >= MIN_COMPRESSED_LEN {
        shared.log.write(&Event::ObjectsReceived {
            kind: kind_name(role),
            from: ip.to_string(),
            bytes: answer.len(),
            resumed_at,
            elapsed_ms: shared.now().since(started_at).as_ms(),
        });
    }
    let mut delta: ObjectDelta = answer.decode()?;
    let age_ms = headers.get(OBJECTS_AGE_HEADER);
    if let Some(age_ms) = age_ms.and_then(|age_ms| age_ms.to_str().ok()) {
        delta.age_ms = age_ms.parse().ok();
    }
    Ok(delta)
}

/// Sends a GET request to a peer and decodes its JSON response.
async fn get_json<T: DeserializeOwned>(
    shared: &Shared,
    ip: Ipv4Addr,
    path: &str,
) -> Result<T, PeerError> {
    get_json_within(shared, ip, path, PEER_REQUEST_TIMEOUT).await
}

/// Like [`get_json`], with a timeout for connecting and until the response begins, each.
async fn get_json_within<T: DeserializeOwned>(
    shared: &Shared,
    ip: Ipv4Addr,
    path: &str,
    timeout: Duration,
) -> Result<T, PeerError> {
    let mut answer = PeerAnswer::new(path);
    let progress = TransferProgress::default();
    answer.receive(shared, ip, timeout, &progress).await?;
    answer.decode()
}
