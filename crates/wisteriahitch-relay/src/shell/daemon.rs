//! The daemon process: starts all servers and background tasks and shuts them down.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use anyhow::Context;
use parking_lot::Mutex;
use serde_json::json;
use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use wisteriahitch_types::{DurationUs, Incarnation};
use wisteriahitch_wire::connection_pool::ConnectionPool;
use wisteriahitch_wire::object_store::ObjectRole;

pub use super::shared::Borders;

use super::blocked_requests::{BlockedRequests, blocked_list, expire_blocks, run_blocked_requests};
use super::budgets::RetryBudgets;
use super::crashes::block_due_suspects;
use super::drain::Drain;
use super::durations::CallDurations;
use super::endpoint_connections::probe_partitioned_services;
use super::engine_memory_watch::{fetch_engine_memories, run_engine_memory_watch};
use super::entries::EntryHttpHandler;
use super::lease::{handover_delay, lease_table};
use super::object_answers::ObjectAnswers;
use super::orders::{run_weight_orders, wanted_weights_snapshot};
use super::part_store_watch::run_part_freeing;
use super::peer_server::PeerHttpHandler;
use super::peer_state::PeerState;
use super::peers::run_gossip;
use super::pipeline::CallerHandler;
use super::registration::run_registration;
use super::server::{bind, serve};
use super::shared::Shared;
use super::site_state::SiteState;
use super::store_epoch::record_store_epoch;
use super::store_updates::expire_lost_evacuations;
use super::watch::run_watch;
use super::watch_state::{STORE, WATCHED_ROLES, WatchStates};
use super::work_shares::WorkState;
use crate::clock::BootClock;
use crate::decide::endpoint_table::EndpointTable;
use crate::decide::gossip_message::MemberPhase;
use crate::decide::part_stores::PartStores;
use crate::decide::permit_shares::PermitShares;
use crate::decide::rollout::Rollout;
use crate::decide::rollout_concurrency::ConcurrencyOptions;
use crate::decide::timely_answers::ProcessActivity;
use crate::decide::unread_orders::UnreadOrders;
use crate::decide::wanted_weights::OldWeightsLimits;
use crate::observe::{Event, EventLog, LogBudget, Metrics};
use crate::settings::{Bounds, RelaySettings};
use crate::site::RegionMap;

/// Time between two rounds of housekeeping: flushing aggregated log lines, closing idle connections
/// and expiring endpoints.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum time for which an endpoint's rate limit stays valid without a new report. An endpoint
/// that accepts calls at all reports within ten seconds, because it is called at least that often.
const MIN_LIMIT_TTL_US: DurationUs = DurationUs::from_ms(60_000);

/// A single run of a daemon process.
///
/// It stores nothing durable itself. Durable data lives in the platform's store, and everything
/// else is learned again after the next start.
pub struct Daemon {
    shared: Arc<Shared>,
    settings_path: PathBuf,
}

impl Daemon {
    /// Builds a daemon without any state.
    ///
    /// # Errors
    ///
    /// Fails if the metrics can't be registered or a bound of the deployment is absent or out of
    /// range.
    pub fn new(
        settings: RelaySettings,
        settings_path: PathBuf,
        ignored_settings: Vec<String>,
        borders: Borders,
    ) -> anyhow::Result<Self> {
        let incarnation = Incarnation::new(rand::random_range(1..u64::MAX));
        let metrics = Metrics::new().context("the metrics can't be registered")?;
        let budget = LogBudget {
            bytes_per_s: settings.log.bytes_per_s,
            successes_per_s: settings.log.successes_per_s,
        };
        let log = EventLog::start(budget, metrics.dropped_lines.clone(), std::io::stdout());
        log.write(&Event::Started {
            daemon: settings.id.to_string(),
            incarnation: incarnation.get(),
            zone: settings.zone.to_string(),
            peer_port: settings.listen.peer_port,
            ignored_settings,
        });
        let bounds = settings.bounds()?;
        let endpoints = EndpointTable::default()
            .with_drain_fallback(bounds.drain_fallback())
            .with_registration_lapse(bounds.longest_lapse())
            .with_limit_ttl(limit_ttl());
        let shared = Shared {
            started_at_us: BootClock.now(),
            activity: Mutex::new(ProcessActivity::new(BootClock.now())),
            clock: BootClock,
            incarnation,
            borders,
            bounds,
            site: SiteState::new(OldWeightsLimits {
                dispatch_timeout_us: bounds.old_weights_send_deadline(),
                start_timeout_us: bounds.old_weights_start_deadline(),
                max_fetch_age_us: bounds.max_fetch_age(),
            }),
            endpoints: Mutex::new(endpoints),
            part_stores: Mutex::new(PartStores::default()),
            permit_shares: Mutex::new(PermitShares::new(settings.ip, BootClock.now())),
            crash_evidence: Mutex::default(),
            crash_evidence_changed: Notify::new(),
            suspects: Mutex::default(),
            stream_versions: Mutex::default(),
            route_services: Mutex::default(),
            blocked_requests: BlockedRequests::default(),
            peers: PeerState::default(),
            pool: ConnectionPool::default(),
            links: Mutex::default(),
            forwarders: Mutex::default(),
            room_lender: Mutex::default(),
            lender_connections: ConnectionPool::default(),
            instance_ended: Notify::new(),
            followed_engines: Mutex::default(),
            budgets: RetryBudgets::new(settings.retry.clone(), settings.ip),
            durations: CallDurations::default(),
            recent_durations: Mutex::default(),
            work: WorkState::default(),
            watches: WatchStates::new(&bounds),
            object_answers: ObjectAnswers::default(),
            leases: Mutex::new(lease_table(&settings, incarnation)),
            rollout: Mutex::new(Rollout::new(rollout_options(&settings, &bounds))),
            unread_orders: Mutex::new(UnreadOrders::new(handover_delay(&settings))),
            drain: Drain::default(),
            reserved_body_bytes: AtomicUsize::new(0),
            log,
            metrics,
            regions: RegionMap::new(settings.regions.clone()),
            settings,
        };
        Ok(Self {
            shared: Arc::new(shared),
            settings_path,
        })
    }

    /// Serves until the process receives a termination signal and its calls have finished.
    ///
    /// # Errors
    ///
    /// Fails if a listening address can't be bound.
    pub async fn run(self) -> anyhow::Result<()> {
        let shared = self.shared;
        let now = shared.now();
        for seed in &shared.settings.seeds {
            if let SocketAddr::V4(seed) = seed {
                shared.peers.table().record_address(*seed.ip(), None, now);
            }
        }
        start_servers(&shared).await?;
        let watched = WATCHED_ROLES
            .into_iter()
            .filter(|role| shared.bounds.is_watched(*role));
        for role in watched {
            tokio::spawn(run_watch(Arc::clone(&shared), role));
        }
        tokio::spawn(run_registration(Arc::clone(&shared)));
        tokio::spawn(run_blocked_requests(Arc::clone(&shared)));
        tokio::spawn(run_weight_orders(Arc::clone(&shared)));
        tokio::spawn(run_part_freeing(Arc::clone(&shared)));
        tokio::spawn(run_engine_memory_watch(Arc::clone(&shared)));
        tokio::spawn(fetch_engine_memories(Arc::clone(&shared)));
        tokio::spawn(run_housekeeping(Arc::clone(&shared)));
        tokio::spawn(run_settings_reloads(
            Arc::clone(&shared),
            self.settings_path,
        ));
        run_until_drained(&shared).await
    }
}

fn rollout_options(settings: &RelaySettings, bounds: &Bounds) -> ConcurrencyOptions {
    ConcurrencyOptions {
        parallel_min: settings.rollout.parallel_min,
        parallel_share: settings.rollout.parallel_share,
        completion_timeout_us: bounds.rollout_deadline(),
    }
}

async fn start_servers(shared: &Arc<Shared>) -> anyhow::Result<()> {
    let listen = &shared.settings.listen;
    let peer_address = SocketAddr::from((shared.settings.ip, listen.peer_port));
    let socket = UdpSocket::bind(peer_address).await;
    let socket =
        socket.with_context(|| format!("the gossip socket can't be bound to {peer_address}"))?;
    tokio::spawn(run_gossip(Arc::clone(shared), socket));
    let callers = Arc::new(CallerHandler {
        shared: Arc::clone(shared),
    });
    let entries = Arc::new(EntryHttpHandler {
        shared: Arc::clone(shared),
    });
    let peers = Arc::new(PeerHttpHandler {
        shared: Arc::clone(shared),
    });
    // Only callers' connections are closed during shutdown. The other servers keep answering.
    let never_cancelled = CancellationToken::new();
    let leaving = shared.drain.start_signal.clone();
    tokio::spawn(serve(
        bind(listen.callers, "the callers' side")?,
        callers,
        leaving,
    ));
    let ready = bind(listen.ready, "the readiness side")?;
    tokio::spawn(serve(ready, Arc::clone(&entries), never_cancelled.clone()));
    let entry = bind(listen.entries, "the entry side")?;
    tokio::spawn(serve(entry, entries, never_cancelled.clone()));
    let peer_listener = bind(peer_address, "the peers' side")?;
    tokio::spawn(serve(
        peer_listener,
        Arc::clone(&peers),
        never_cancelled.clone(),
    ));
    let others = [
        (listen.control, "the control side"),
        (listen.metrics, "the metrics"),
    ];
    for (address, what) in others {
        let Some(address) = address else { continue };
        let server = serve(
            bind(address, what)?,
            Arc::clone(&peers),
            never_cancelled.clone(),
        );
        tokio::spawn(server);
    }
    Ok(())
}

async fn run_until_drained(shared: &Arc<Shared>) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let drain_started_at = tokio::time::Instant::now();
    shared.drain.start();
    shared.peers.wake_sender.notify_one();
    let in_flight = shared.drain.in_flight();
    shared.log.write(&Event::DrainStarted { in_flight });
    let in_flight = shared.drain.wait_until_finished(&shared.settings).await;
    shared.log.write(&Event::Stopped {
        in_flight,
        waited_ms: u64::try_from(drain_started_at.elapsed().as_millis()).unwrap_or(u64::MAX),
    });
    shared.log.finish();
    Ok(())
}

/// Removes endpoints that have left, adds those that turn out to be there, and ends evacuations that
/// the store has lost.
fn update_endpoints(shared: &Arc<Shared>) {
    let now = shared.now();
    let as_of = shared.watches.complete_as_of(ObjectRole::Endpoints);
    let changes = {
        let mut endpoints = shared.endpoints.lock();
        let mut changes = endpoints.tick(now);
        changes.extend(as_of.map_or(vec![], |as_of| endpoints.admit_held_back(as_of, now)));
        changes
    };
    shared.record_endpoint_changes(changes, 0);
    expire_lost_evacuations(shared);
}

async fn run_housekeeping(shared: Arc<Shared>) {
    let mut was_ready = false;
    loop {
        tokio::time::sleep(HOUSEKEEPING_INTERVAL).await;
        shared.activity.lock().record(shared.now());
        // Calls of any kind may have learned of a later epoch.
        record_store_epoch(&shared, shared.borders.store.epoch(), STORE);
        update_endpoints(&shared);
        shared.pool.close_expired();
        shared.lender_connections.close_expired();
        block_due_suspects(&shared);
        expire_blocks(&shared);
        probe_partitioned_services(&shared);
        let is_ready = shared.phase() == MemberPhase::Ready;
        if is_ready != was_ready {
            was_ready = is_ready;
            let endpoints = shared.endpoints.lock().len();
            shared.log.write(&Event::ReadyChanged {
                is_ready,
                endpoints,
            });
        }
        shared.log.flush();
    }
}

/// Validates the settings file again on SIGHUP and logs the result. The running settings don't
/// change until the next start, but an invalid file is reported now instead of then.
async fn run_settings_reloads(shared: Arc<Shared>, path: PathBuf) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return;
    };
    while hangup.recv().await.is_some() {
        let reloaded = RelaySettings::load(&path, |_| {});
        shared.log.write(&Event::SettingsReloaded {
            is_valid: reloaded.is_ok(),
            detail: reloaded
                .err()
                .map_or(String::new(), |error| error.to_string()),
        });
    }
}

/// Returns how long an endpoint's rate limit stays valid without a new report. The time is random
/// per daemon, so that one daemon calls the endpoint again and informs the others before all of
/// them send as if there were no limit.
fn limit_ttl() -> DurationUs {
    MIN_LIMIT_TTL_US + DurationUs::new(rand::random_range(0..MIN_LIMIT_TTL_US.get()))
}

/// Returns the state of the daemon as JSON.
pub(crate) fn dump(shared: &Shared) -> String {
    let now = shared.now();
    let endpoints = shared.endpoints.lock();
    let rows = endpoints.iter().map(|row| {
        json!({
            "endpoint": row.instance(),
            "service": row.endpoint.service,
            "address": row.endpoint.address,
            "life": format!("{:?}", row.state),
            "is_displaced": row.is_displaced,
            "own_running": row.own_load.running,
            "unsent": row.unsent_load.running,
            "peers_running": row.peers_load.running,
            "unread_tokens": row.load().unread_tokens,
            "parts": row.parts.len(),
            "is_ejected": row.outlier.is_ejected(now),
            "failure_rate": row.outlier.failure_rate(),
            "suspected_for_ms": row.suspected_until_us.since(now).as_ms(),
            "cold_for_ms": row.cold.until_us.since(now).as_ms(),
            "cold_permits": row.cold.permits.share.now,
            "has_said_it_leaves": endpoints.has_announced_leaving(row),
            "rests_for_ms": row.statements.rest_until_us.since(now).as_ms(),
            "limit_permits": row.statements.limit.permits.share.now,
            "limit_per_s": row.statements.limit.rate().map(|rate| rate.per_s()),
            "limit_heard_ms_ago": row.statements.limit.last_seen_ms_ago(now),
        })
    });
    let rows: Vec<_> = rows.collect();
    let evacuated_zones: Vec<String> = endpoints.evacuated().map(ToString::to_string).collect();
    drop(endpoints);
    let peers: Vec<_> = shared
        .peers
        .table()
        .alive(now)
        .map(|peer| json!({"ip": peer.ip, "zone": peer.zone, "phase": format!("{:?}", peer.phase)}))
        .collect();
    let leases = shared.leases.lock().status();
    let (suspects, suspect_requests) = {
        let suspects = shared.suspects.lock();
        (suspects.suspect_count(), suspects.suspect_request_count())
    };
    let dump = json!({
        "daemon": shared.settings.id,
        "incarnation": shared.incarnation,
        "phase": format!("{:?}", shared.phase()),
        "config_version": shared.site.config().map(|config| config.version),
        "wanted_weights": wanted_weights_snapshot(shared),
        "in_flight": shared.drain.in_flight(),
        "evacuated_zones": evacuated_zones,
        "endpoints": rows,
        "peers": peers,
        "part_stores": shared.part_stores.lock().snapshot(),
        "leases": leases,
        "blocked_requests": blocked_list(shared),
        "suspects": suspects,
        "suspect_requests": suspect_requests,
    });
    dump.to_string()
}
