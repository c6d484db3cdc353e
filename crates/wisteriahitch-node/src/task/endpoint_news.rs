//! Telling peers which endpoints are leaving.

use std::sync::Arc;
use std::time::Duration;

use wisteriahitch_core::route::LifeState;
use wisteriahitch_peer::{BlockHint, HintKind, PublishBlocksRequest};
use wisteriahitch_types::EndpointId;

use crate::shared::Shared;

/// Longest wait for a peer's answer.
const TIMEOUT: Duration = Duration::from_millis(700);

/// Logs the endpoints' changes of state and tells peers of those that began to leave.
///
/// The VM list lags and reports are polled, so that one daemon often knows first. Without its word
/// the others would go on sending work to an endpoint that shuts down.
pub(crate) fn tell_changes(shared: &Arc<Shared>) {
    let mut hints = Vec::new();
    {
        let mut router = shared.router.lock();
        for change in router.endpoints.take_changes() {
            let endpoint = &change.endpoint;
            log::info!("endpoint {endpoint}: {:?} to {:?}", change.from, change.to);
            if change.to == LifeState::Leaving {
                let report = router.endpoints.get_report(endpoint);
                let life = report.and_then(|report| report.life.clone());
                hints.push(leaving_hint(endpoint, life));
            }
        }
    }
    if !hints.is_empty() {
        tokio::spawn(publish(Arc::clone(shared), hints));
    }
}

fn leaving_hint(endpoint: &EndpointId, life: Option<String>) -> BlockHint {
    BlockHint {
        holder: endpoint.to_string(),
        is_store: false,
        holder_incarnation: life.unwrap_or_default(),
        key: bytes::Bytes::new(),
        kind: HintKind::Leaving.into(),
    }
}

async fn publish(shared: Arc<Shared>, hints: Vec<BlockHint>) {
    let peers: Vec<_> = {
        let members = shared.fleet.members.lock();
        members
            .peers()
            .map(|peer| (peer.incarnation, peer.addresses.peer))
            .collect()
    };
    for (incarnation, address) in peers {
        let request = PublishBlocksRequest {
            envelope: shared.envelope(Some(incarnation)),
            batch_number: 0,
            hints: hints.clone(),
        };
        if let Err(error) = shared
            .outside
            .peers
            .publish_blocks(address, request, TIMEOUT)
            .await
        {
            log::debug!("news of endpoints didn't reach {address}: {error}");
        }
    }
}
