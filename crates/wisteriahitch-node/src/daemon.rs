//! The daemon process: builds the shared state and runs all listeners and tasks.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Context;
use arc_swap::ArcSwapOption;
use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use wisteriahitch_config::{PolicyName, Settings};
use wisteriahitch_core::fleet::{ConfigEvent, LeaseHolder};
use wisteriahitch_core::once::ClaimHolder;
use wisteriahitch_core::route::{Affinity, CostPolicy, LeastLoaded, Policy, RoundRobin, Router};
use wisteriahitch_peer::{PeerClient, serve_peers};
use wisteriahitch_types::Incarnation;
use wisteriahitch_wire::engine::HttpEngine;
use wisteriahitch_wire::http_client::{HttpClient, HttpClientOptions};
use wisteriahitch_wire::platform::{CallRate, HttpPlatform, HttpPlatformOptions};
use wisteriahitch_wire::service::{HttpService, HttpServiceOptions};
use wisteriahitch_wire::store::HttpStore;

use crate::caller::CallerHandler;
use crate::clock::Clock;
use crate::config::ConfigState;
use crate::observe::Metrics;
use crate::operator::OperatorHandler;
use crate::orders::{OrderState, run_orders};
use crate::peering::{PeerRequestHandler, run_leaving_updates, run_membership};
use crate::server::{ConnectionLimits, serve};
use crate::shared::{ExternalClients, Shared};
use crate::state::{AdmissionState, FleetState, OnceState, ResumeState, TierState};
use crate::task;

/// Maximum ratio of retries to requests until a configuration sets it.
const INITIAL_RETRY_SHARE: f64 = 0.1;

/// Timeout of connecting to a peer.
const PEER_CONNECT_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(300);

/// Time limit, at shutdown, for peers' connections to close after all requests on them have ended.
const PEER_SHUTDOWN_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);

/// Maximum number of callers' connections per completion that may run at once.
const CONNECTIONS_PER_STREAM: usize = 2;

/// Length of the listeners' accept queues.
const LISTEN_BACKLOG: u32 = 4_096;

/// Maximum number of operators' connections.
const OPERATOR_CONNECTIONS: usize = 64;

/// One incarnation of a daemon.
///
/// A daemon stores nothing durably: durable data is in the platform's objects, and everything else
/// is learned again after a restart (`docs/ARCHITECTURE.md`).
pub struct Daemon {
    shared: Arc<Shared>,
}

impl Daemon {
    /// Creates a daemon with empty state.
    ///
    /// # Errors
    ///
    /// Fails if the metrics can't be registered.
    pub fn new(settings: Settings) -> anyhow::Result<Self> {
        let incarnation = Incarnation::new(rand::random_range(1..u64::MAX));
        let holder = ClaimHolder {
            owner: settings.id.clone(),
            incarnation,
            address: settings.listen.peers,
        };
        let lease_holder = LeaseHolder {
            daemon: settings.id.clone(),
            incarnation,
        };
        let shared = Shared {
            incarnation,
            clock: Clock::new(),
            in_force: ArcSwapOption::empty(),
            clients: build_clients(&settings),
            router: Mutex::new(Router::new(
                build_policy(settings.run.policy),
                incarnation.get(),
            )),
            tiers: TierState::new(),
            once: Mutex::new(OnceState::new(holder)),
            resume: ResumeState::new(),
            admission: AdmissionState::new(INITIAL_RETRY_SHARE),
            config: ConfigState::new(),
            orders: OrderState::new(lease_holder),
            fleet: FleetState::new(&settings, incarnation),
            metrics: Metrics::new().context("the metrics can't be registered")?,
            stop: CancellationToken::new(),
            end: CancellationToken::new(),
            settings,
        };
        Ok(Self {
            shared: Arc::new(shared),
        })
    }

    /// Returns a function that starts draining, for a signal handler.
    pub fn drainer(&self) -> impl Fn() + Send + Sync + use<> {
        let shared = Arc::clone(&self.shared);
        move || shared.start_drain()
    }

    /// Serves until the daemon has drained.
    ///
    /// # Errors
    ///
    /// Fails if it can't listen on one of its addresses.
    pub async fn run(self) -> anyhow::Result<()> {
        let shared = self.shared;
        let listen = &shared.settings.listen;
        let callers = bind(listen.callers, "callers")?;
        let operators = bind(listen.operators, "operators")?;
        let peers = bind(listen.peers, "peers")?;
        shared.handle_config_event(ConfigEvent::Restart);
        let mut tasks = JoinSet::new();
        let mut listeners = JoinSet::new();
        tasks.spawn(task::run_housekeeping(Arc::clone(&shared)));
        tasks.spawn(task::run_endpoints(Arc::clone(&shared)));
        tasks.spawn(task::run_stores(Arc::clone(&shared)));
        tasks.spawn(task::run_vm_list(Arc::clone(&shared)));
        tasks.spawn(run_orders(Arc::clone(&shared)));
        tasks.spawn(run_membership(Arc::clone(&shared)));
        tasks.spawn(run_leaving_updates(Arc::clone(&shared)));
        tasks.spawn(serve_peer_listener(Arc::clone(&shared), peers));
        let operator_side = Arc::new(OperatorHandler::new(Arc::clone(&shared)));
        let limits = connection_limits(&shared.settings, OPERATOR_CONNECTIONS);
        listeners.spawn(serve(operators, limits, operator_side, shared.stop.clone()));
        let caller_side = Arc::new(CallerHandler::new(Arc::clone(&shared)));
        let limits = caller_connection_limits(&shared.settings);
        listeners.spawn(serve(callers, limits, caller_side, shared.stop.clone()));
        log::info!(
            "daemon {} incarnation {}",
            shared.settings.id,
            shared.incarnation
        );
        while listeners.join_next().await.is_some() {}
        shared.wait_for_late_work().await;
        shared.end.cancel();
        // A frozen peer never confirms that its connection is closed, and nothing is left here that
        // it could still need. Without the timeout one such peer would block an update.
        let ended = async { while tasks.join_next().await.is_some() {} };
        if tokio::time::timeout(PEER_SHUTDOWN_TIMEOUT, ended)
            .await
            .is_err()
        {
            log::warn!("a connection to a peer didn't close in time");
        }
        Ok(())
    }
}

/// Listens on an address with a queue long enough for a burst of callers.
///
/// The usual queue length of 128 overflows when several hundred callers return at once, for example
/// when an availability zone recovers. Their connections then wait for a second or fail.
fn bind(address: SocketAddr, side: &str) -> anyhow::Result<TcpListener> {
    let listen = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    listen().with_context(|| format!("the {side}' address {address} can't be listened on"))
}

async fn serve_peer_listener(shared: Arc<Shared>, listener: TcpListener) {
    let handler = Arc::new(PeerRequestHandler::new(Arc::clone(&shared)));
    let stop = shared.end.clone();
    if let Err(error) = serve_peers(listener, handler, stop.cancelled_owned()).await {
        log::error!("the peers' side ended: {error}");
    }
}

/// Allows for idle connections besides those with a running completion.
fn caller_connection_limits(settings: &Settings) -> ConnectionLimits {
    let streams = settings.limits.streams as usize;
    connection_limits(settings, streams.saturating_mul(CONNECTIONS_PER_STREAM))
}

fn connection_limits(settings: &Settings, connections: usize) -> ConnectionLimits {
    let limits = &settings.limits;
    ConnectionLimits {
        connections,
        header_bytes: limits.header_bytes,
        header_timeout: limits.header_timeout_us.into(),
        idle_timeout: limits.idle_keep_alive_us.into(),
        reader_stall: limits.reader_stall_timeout_us.into(),
    }
}

fn build_policy(name: PolicyName) -> Box<dyn Policy> {
    match name {
        PolicyName::Cost => Box::new(CostPolicy::default()),
        PolicyName::RoundRobin => Box::new(RoundRobin::default()),
        PolicyName::LeastLoaded => Box::new(LeastLoaded),
        PolicyName::Affinity => Box::new(Affinity),
    }
}

fn build_clients(settings: &Settings) -> ExternalClients {
    let platform = HttpPlatformOptions {
        addresses: settings.platform.addresses.clone(),
        call_timeout_us: settings.platform.timeout_us,
        reads_per_s: CallRate::new(f64::from(settings.platform.reads_per_s)),
        writes_per_s: CallRate::new(f64::from(settings.platform.writes_per_s)),
        ..HttpPlatformOptions::default()
    };
    let client = HttpClient::new(HttpClientOptions::default());
    ExternalClients {
        platform: Arc::new(HttpPlatform::new(platform)),
        engine: Arc::new(HttpEngine::new(client.clone())),
        service: Arc::new(HttpService::new(HttpServiceOptions::default())),
        store: Arc::new(HttpStore::new(client)),
        peers: PeerClient::new(PEER_CONNECT_TIMEOUT),
    }
}
