//! Polls the load and the cache events of endpoints.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use wisteriahitch_config::{Configuration, Endpoint, ServiceKind};
use wisteriahitch_core::route::{EndpointLoad, LeavingSource, LoadedModel};
use wisteriahitch_core::tier::TierEvent;
use wisteriahitch_types::EndpointId;
use wisteriahitch_wire::engine::{CacheEventKind, CacheEvents, LoadReport};
use wisteriahitch_wire::service::ServiceLoad;

use super::in_flight::InFlightCalls;
use crate::shared::Shared;

/// Interval between two polls of an endpoint.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Position up to which the cache events of an endpoint have been read.
#[derive(Clone, Debug)]
struct CacheCursor {
    incarnation: String,
    next: u64,
}

type CacheCursors = Mutex<HashMap<EndpointId, CacheCursor>>;

/// Polls every endpoint for its load and its cache events until the process stops.
pub(crate) async fn run_endpoints(shared: Arc<Shared>) {
    let cursors = Arc::new(CacheCursors::default());
    let in_flight = InFlightCalls::default();
    let mut ticks = tokio::time::interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = shared.end.cancelled() => return,
            _ = ticks.tick() => poll_endpoints(&shared, &cursors, &in_flight),
        }
    }
}

/// Polls all endpoints that have no poll in flight, so that a frozen endpoint delays no other's
/// report.
fn poll_endpoints(
    shared: &Arc<Shared>,
    cursors: &Arc<CacheCursors>,
    in_flight: &InFlightCalls<EndpointId>,
) {
    let Some(in_force) = shared.in_force.load_full() else {
        return;
    };
    let configuration = &in_force.configuration;
    remove_unconfigured(shared, cursors, configuration);
    for service in configuration.services.values() {
        for endpoint in &service.endpoints {
            let Some(call) = in_flight.try_begin(&endpoint.id) else {
                continue;
            };
            let (shared, endpoint) = (Arc::clone(shared), endpoint.clone());
            let (kind, cursors) = (service.kind, Arc::clone(cursors));
            tokio::spawn(async move {
                match kind {
                    ServiceKind::Engine => poll_engine(shared, endpoint, cursors).await,
                    ServiceKind::Plain => poll_service(shared, endpoint).await,
                }
                drop(call);
            });
        }
    }
}

/// Removes cursors and reports of endpoints that are no longer configured.
fn remove_unconfigured(shared: &Shared, cursors: &CacheCursors, configuration: &Configuration) {
    let is_configured = |id: &EndpointId| configuration.endpoint(id).is_some();
    cursors.lock().retain(|id, _| is_configured(id));
    shared
        .orders
        .reports
        .lock()
        .retain(|id, _| is_configured(id));
}

async fn poll_engine(shared: Arc<Shared>, endpoint: Endpoint, cursors: Arc<CacheCursors>) {
    let Ok(report) = shared.clients.engine.load(endpoint.address).await else {
        return;
    };
    shared.orders.record_engine_report(&endpoint.id, &report);
    sync_cache_events(&shared, &endpoint, &cursors).await;
    let incarnation = cursors
        .lock()
        .get(&endpoint.id)
        .map(|cursor| cursor.incarnation.clone());
    let load = engine_load(report, incarnation);
    record_load(&shared, &endpoint, load);
}

async fn poll_service(shared: Arc<Shared>, endpoint: Endpoint) {
    if let Ok(report) = shared.clients.service.load(endpoint.address).await {
        record_load(&shared, &endpoint, service_load(&report));
    }
}

fn record_load(shared: &Arc<Shared>, endpoint: &Endpoint, load: EndpointLoad) {
    let now = shared.clock.now();
    let is_leaving = load.leaving;
    let mut router = shared.router.lock();
    router.endpoints.record_report(&endpoint.id, load, now);
    if is_leaving {
        router
            .endpoints
            .mark_leaving(&endpoint.id, &LeavingSource::OwnReport, now);
    }
}

fn engine_load(report: LoadReport, life: Option<String>) -> EndpointLoad {
    let models = report.models.into_iter().map(|model| LoadedModel {
        model: model.model,
        weight_version: model.weight_version,
        adapters: model.adapters,
        is_ready: model.ready,
    });
    EndpointLoad {
        made_at_ms: report.made_at_ms,
        life,
        running: report.running,
        batch_slots: report.batch_slots,
        queued: report.queued,
        queued_tokens: report.queued_tokens,
        prefill_tokens_per_s: report.prefill_tokens_per_s,
        decode_us_per_token: report.decode_us_per_token,
        leaving: report.leaving,
        models: models.collect(),
    }
}

fn service_load(report: &ServiceLoad) -> EndpointLoad {
    EndpointLoad {
        made_at_ms: report.made_at_ms,
        running: report.running,
        batch_slots: report.slots,
        queued: report.queued,
        leaving: report.leaving,
        ..EndpointLoad::default()
    }
}

/// Applies the cache events since the last poll. After a gap, or if the endpoint has restarted,
/// reloads the listing of the whole cache.
async fn sync_cache_events(shared: &Arc<Shared>, endpoint: &Endpoint, cursors: &CacheCursors) {
    let known = cursors.lock().get(&endpoint.id).cloned();
    let Some(cursor) = known else {
        reload_cache_listing(shared, endpoint, cursors).await;
        return;
    };
    let after = cursor.next.saturating_sub(1);
    let Ok(events) = shared
        .clients
        .engine
        .cache_events(endpoint.address, after)
        .await
    else {
        return;
    };
    let is_same_incarnation = events.incarnation == cursor.incarnation;
    if !is_same_incarnation || events.first > cursor.next {
        shared.router.lock().directory.mark_event_gap(&endpoint.id);
        reload_cache_listing(shared, endpoint, cursors).await;
        return;
    }
    apply_cache_events(shared, endpoint, &events, cursor.next);
    let cursor = CacheCursor {
        incarnation: events.incarnation,
        next: events.next,
    };
    cursors.lock().insert(endpoint.id.clone(), cursor);
}

fn apply_cache_events(shared: &Arc<Shared>, endpoint: &Endpoint, events: &CacheEvents, next: u64) {
    for event in events.events.iter().filter(|event| event.number >= next) {
        match event.kind {
            CacheEventKind::Stored => {
                shared
                    .router
                    .lock()
                    .directory
                    .record_stored(&endpoint.id, &event.key);
            }
            CacheEventKind::Evicted => {
                shared
                    .router
                    .lock()
                    .directory
                    .record_evicted(&endpoint.id, &event.key);
                shared.handle_tier_event(TierEvent::EndpointEvicted { key: event.key });
            }
        }
    }
}

async fn reload_cache_listing(shared: &Arc<Shared>, endpoint: &Endpoint, cursors: &CacheCursors) {
    let Ok(listing) = shared.clients.engine.cache_listing(endpoint.address).await else {
        return;
    };
    shared
        .router
        .lock()
        .directory
        .replace_endpoint_listing(&endpoint.id, &listing.keys);
    let cursor = CacheCursor {
        incarnation: listing.incarnation,
        next: listing.next,
    };
    cursors.lock().insert(endpoint.id.clone(), cursor);
}
