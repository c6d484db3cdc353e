//! What every part of a daemon shares.

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

/// Holds the configuration that is in force.
#[derive(Debug)]
pub(crate) struct InForce {
    /// Version of the head.
    pub(crate) version: ConfigVersion,
    /// Sections as they were accepted.
    pub(crate) sections: Sections,
    /// The checked whole.
    pub(crate) configuration: Configuration,
}

/// Holds the outside systems behind their traits.
pub(crate) struct ExternalClients {
    /// Object API.
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

/// Holds a daemon's tables, each behind its own lock.
///
/// Locks are held only for a step of a table, never across a wait. Where two are needed, `router`
/// is taken before `tiers`, and the replica of `config` before the members, and the members
/// before the leases; the lock of `config` under which a configuration is put in force is taken
/// before any other; no other pair is held at once.
pub(crate) struct Shared {
    /// Settings of this daemon.
    pub(crate) settings: Settings,
    /// Life of this process.
    pub(crate) incarnation: Incarnation,
    /// Time since the process started.
    pub(crate) clock: Clock,
    /// Configuration in force, if there is one yet.
    pub(crate) in_force: ArcSwapOption<InForce>,
    /// Outside systems.
    pub(crate) clients: ExternalClients,
    /// Endpoints and hints of where blocks lie.
    pub(crate) router: Mutex<Router>,
    /// Blocks, links, imports and saves.
    pub(crate) tiers: TierState,
    /// Keys of requests that may not be repeated.
    pub(crate) once: Mutex<OnceState>,
    /// Streams that a caller may go on with.
    pub(crate) resume: ResumeState,
    /// Who waits for its turn.
    pub(crate) admission: AdmissionState,
    /// Versions of the configuration.
    pub(crate) config: ConfigState,
    /// Orders to endpoints.
    pub(crate) orders: OrderState,
    /// Other daemons and draining.
    pub(crate) fleet: FleetState,
    /// Counters.
    pub(crate) metrics: Metrics,
    /// Ends the callers' and the operators' side, each connection with the request that it is at.
    pub(crate) stop: CancellationToken,
    /// Ends everything else, once both sides have ended and no work is left.
    pub(crate) end: CancellationToken,
}
