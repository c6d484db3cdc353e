//! Following the load and the caches of endpoints.

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

use super::in_flight::InFlight;
use crate::shared::Shared;

/// Time between two looks at every endpoint.
const PAUSE: Duration = Duration::from_millis(200);

/// How far the cache events of an endpoint have been read.
#[derive(Clone, Debug)]
struct CachePlace {
    incarnation: String,
    next: u64,
}

type CachePlaces = Mutex<HashMap<EndpointId, CachePlace>>;

/// Asks every endpoint for its load and its cache events until the process stops.
pub(crate) async fn run_endpoints(shared: Arc<Shared>) {
    let places = Arc::new(CachePlaces::default());
    let asked = InFlight::default();
    let mut ticks = tokio::time::interval(PAUSE);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = shared.end.cancelled() => return,
            _ = ticks.tick() => ask_all(&shared, &places, &asked),
        }
    }
}

/// Asks all that aren't being asked; a frozen endpoint holds up no other's report.
fn ask_all(shared: &Arc<Shared>, places: &Arc<CachePlaces>, asked: &InFlight<EndpointId>) {
    let Some(in_force) = shared.in_force.load_full() else {
        return;
    };
    let configuration = &in_force.configuration;
    forget_removed(shared, places, configuration);
    for service in configuration.services.values() {
        for endpoint in &service.endpoints {
            let Some(asking) = asked.try_begin(&endpoint.id) else {
                continue;
            };
            let (shared, endpoint) = (Arc::clone(shared), endpoint.clone());
            let (kind, places) = (service.kind, Arc::clone(places));
            tokio::spawn(async move {
                match kind {
                    ServiceKind::Engine => ask_engine(shared, endpoint, places).await,
                    ServiceKind::Plain => ask_service(shared, endpoint).await,
                }
                drop(asking);
            });
        }
    }
}

/// Forgets what was read of endpoints that are no longer configured.
fn forget_removed(shared: &Shared, places: &CachePlaces, configuration: &Configuration) {
    let is_known = |id: &EndpointId| configuration.endpoint(id).is_some();
    places.lock().retain(|id, _| is_known(id));
    shared.orders.reports.lock().retain(|id, _| is_known(id));
}

async fn ask_engine(shared: Arc<Shared>, endpoint: Endpoint, places: Arc<CachePlaces>) {
    let Ok(report) = shared.outside.engine.load(endpoint.address).await else {
        return;
    };
    shared.orders.note_report(&endpoint.id, &report);
    follow_cache(&shared, &endpoint, &places).await;
    let life = places
        .lock()
        .get(&endpoint.id)
        .map(|place| place.incarnation.clone());
    let load = engine_load(report, life);
    note_load(&shared, &endpoint, load);
}

async fn ask_service(shared: Arc<Shared>, endpoint: Endpoint) {
    if let Ok(report) = shared.outside.service.load(endpoint.address).await {
        note_load(&shared, &endpoint, service_load(&report));
    }
}

fn note_load(shared: &Arc<Shared>, endpoint: &Endpoint, load: EndpointLoad) {
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

/// Reads the events since the last look; after a gap or a new life it lists the whole cache.
async fn follow_cache(shared: &Arc<Shared>, endpoint: &Endpoint, places: &CachePlaces) {
    let known = places.lock().get(&endpoint.id).cloned();
    let Some(place) = known else {
        list_cache(shared, endpoint, places).await;
        return;
    };
    let after = place.next.saturating_sub(1);
    let Ok(events) = shared
        .outside
        .engine
        .cache_events(endpoint.address, after)
        .await
    else {
        return;
    };
    let is_same_life = events.incarnation == place.incarnation;
    if !is_same_life || events.first > place.next {
        shared.router.lock().directory.mark_event_gap(&endpoint.id);
        list_cache(shared, endpoint, places).await;
        return;
    }
    take_events(shared, endpoint, &events, place.next);
    let place = CachePlace {
        incarnation: events.incarnation,
        next: events.next,
    };
    places.lock().insert(endpoint.id.clone(), place);
}

fn take_events(shared: &Arc<Shared>, endpoint: &Endpoint, events: &CacheEvents, next: u64) {
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
                shared.note_tier(TierEvent::EndpointEvicted { key: event.key });
            }
        }
    }
}

async fn list_cache(shared: &Arc<Shared>, endpoint: &Endpoint, places: &CachePlaces) {
    let Ok(listing) = shared.outside.engine.cache_listing(endpoint.address).await else {
        return;
    };
    shared
        .router
        .lock()
        .directory
        .replace_endpoint_listing(&endpoint.id, &listing.keys);
    let place = CachePlace {
        incarnation: listing.incarnation,
        next: listing.next,
    };
    places.lock().insert(endpoint.id.clone(), place);
}
