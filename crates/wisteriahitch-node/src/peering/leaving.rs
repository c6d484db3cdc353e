//! Publishes to peers that an endpoint is leaving.
//!
//! An endpoint's own report may reach only one daemon, and the VM list lags. Without these updates
//! the other daemons would go on sending requests to an endpoint that is shutting down, where they
//! fail; `docs/design/membership.md` gives the reasons for gossip between peers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wisteriahitch_peer::{BlockHint, HintKind, PublishBlocksRequest};
use wisteriahitch_types::{EndpointId, Incarnation};

use crate::shared::Shared;

/// Interval between two checks for leaving endpoints.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout of a call to a peer.
const PUBLISH_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Number of peers to which each daemon publishes an update, once. Each of them for which it is new
/// publishes it to as many again, so that it reaches all daemons while none sends more than this.
const UPDATE_FANOUT: usize = 6;

/// Leaving endpoints, with the incarnation that leaves if it is known.
type LeavingEndpoints = HashMap<EndpointId, Option<String>>;

/// Publishes endpoints that begin to leave until the process stops.
pub(crate) async fn run_leaving_updates(shared: Arc<Shared>) {
    let mut published = LeavingEndpoints::new();
    let mut ticks = tokio::time::interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = shared.end.cancelled() => return,
            _ = ticks.tick() => publish_new(&shared, &mut published),
        }
    }
}

fn publish_new(shared: &Arc<Shared>, published: &mut LeavingEndpoints) {
    let leaving = find_leaving(shared);
    let is_new =
        |(id, instance): &(&EndpointId, &Option<String>)| published.get(*id) != Some(*instance);
    let hints: Vec<BlockHint> = leaving.iter().filter(is_new).map(leaving_hint).collect();
    *published = leaving;
    if hints.is_empty() {
        return;
    }
    for (peer, address) in choose_peers(shared) {
        tokio::spawn(publish(Arc::clone(shared), peer, address, hints.clone()));
    }
}

fn find_leaving(shared: &Shared) -> LeavingEndpoints {
    let router = shared.router.lock();
    let leaving = router.endpoints.confirmed_leaving();
    leaving
        .map(|(id, instance)| (id.clone(), instance.map(str::to_owned)))
        .collect()
}

fn leaving_hint((id, instance): (&EndpointId, &Option<String>)) -> BlockHint {
    BlockHint {
        holder: id.to_string(),
        holder_incarnation: instance.clone().unwrap_or_default(),
        kind: HintKind::Leaving.into(),
        ..BlockHint::default()
    }
}

fn choose_peers(shared: &Shared) -> Vec<(Incarnation, SocketAddr)> {
    let members = shared.fleet.members.lock();
    let present = members.peers().filter(|peer| peer.state.is_present());
    let mut peers: Vec<(Incarnation, SocketAddr)> = present
        .map(|peer| (peer.incarnation, peer.addresses.peer))
        .collect();
    peers.sort_by_cached_key(|_| rand::random::<u64>());
    peers.truncate(UPDATE_FANOUT);
    peers
}

/// Publishes hints to one peer. Failures are ignored: the peer learns it from other daemons or by
/// itself.
async fn publish(
    shared: Arc<Shared>,
    peer: Incarnation,
    address: SocketAddr,
    hints: Vec<BlockHint>,
) {
    let request = PublishBlocksRequest {
        envelope: shared.envelope(Some(peer)),
        batch_number: 0,
        hints,
    };
    let answer = shared
        .clients
        .peers
        .publish_blocks(address, request, PUBLISH_TIMEOUT)
        .await;
    if let Err(error) = answer {
        log::debug!("publishing leaving endpoints to {peer} at {address} failed: {error}");
    }
}
