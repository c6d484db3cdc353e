//! State shared by all parts of a daemon.

use std::sync::Arc;

use arc_swap::ArcSwapOption;
use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;
use wisteriahitch_config::{Configuration, Sections, Settings};
use wisteriahitch_core::route::Router;
use wisteriahitch_peer::PeerClient;
use wisteriahitch_types::{ConfigVersion, Incarnation};
use wisteriahitch_wire::engine::Engine;
use wisteriahitch_wire::platform::Platform;
use wisteriahitch_wire::service::Service;
use wisteriahitch_wire::store::Store;

use crate::clock::Clock;
use crate::config::ConfigState;
use crate::observe::Metrics;
use crate::orders::OrderState;
use crate::state::{AdmissionState, FleetState, OnceState, ResumeState, TierState};

/// The active configuration.
#[derive(Debug)]
pub(crate) struct InForce {
    /// Version of the head object.
    pub(crate) version: ConfigVersion,
    /// Sections as they were accepted.
    pub(crate) sections: Sections,
    /// Configuration assembled from the sections and validated.
    pub(crate) configuration: Configuration,
}

/// Clients of the external systems, behind their traits.
pub(crate) struct ExternalClients {
    /// The platform's object API.
    pub(crate) platform: Arc<dyn Platform>,
    /// Model engines.
    pub(crate) engine: Arc<dyn Engine>,
    /// Plain services.
    pub(crate) service: Arc<dyn Service>,
    /// Store VMs.
    pub(crate) store: Arc<dyn Store>,
    /// Other daemons.
    pub(crate) peers: PeerClient,
}

/// A daemon's tables, each behind its own lock.
///
/// A lock is held only for one step of a table, never across an `await`. Lock order: `router`
/// before `tiers`; the replica of `config` before the members, and the members before the leases;
/// the lock of `config` that guards the activation of a configuration before any other. No other
/// pair of locks is held at once.
pub(crate) struct Shared {
    /// Settings of this daemon.
    pub(crate) settings: Settings,
    /// Incarnation of this daemon.
    pub(crate) incarnation: Incarnation,
    /// Time since the process started.
    pub(crate) clock: Clock,
    /// Active configuration; empty until the first one has been loaded.
    pub(crate) in_force: ArcSwapOption<InForce>,
    /// Clients of the external systems.
    pub(crate) clients: ExternalClients,
    /// Endpoints, and hints of where blocks are cached.
    pub(crate) router: Mutex<Router>,
    /// Blocks, links, imports and saves.
    pub(crate) tiers: TierState,
    /// Keys of non-repeatable requests.
    pub(crate) once: Mutex<OnceState>,
    /// Interrupted streams that their callers may resume.
    pub(crate) resume: ResumeState,
    /// Running and queued requests.
    pub(crate) admission: AdmissionState,
    /// Known versions of the configuration.
    pub(crate) config: ConfigState,
    /// Orders to endpoints.
    pub(crate) orders: OrderState,
    /// Other daemons, and this daemon's draining.
    pub(crate) fleet: FleetState,
    /// Metrics.
    pub(crate) metrics: Metrics,
    /// Stops the callers' and the operators' listeners. Each connection finishes its current
    /// request first.
    pub(crate) stop: CancellationToken,
    /// Stops everything else, once both listeners have stopped and no work is left.
    pub(crate) end: CancellationToken,
}
