//! What every part of a daemon shares.

use std::sync::Arc;

use arc_swap::ArcSwapOption;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use wisteriahitch_config::{Configuration, Sections, Settings};
use wisteriahitch_types::{ConfigVersion, Incarnation};
use wisteriahitch_wire::engine::Engine;
use wisteriahitch_wire::platform::Platform;
use wisteriahitch_wire::service::Service;
use wisteriahitch_wire::store::Store;

use crate::clock::Clock;
use crate::observe::Metrics;

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
pub(crate) struct Outside {
    /// Object API.
    pub(crate) platform: Arc<dyn Platform>,
    /// Model engines.
    pub(crate) engine: Arc<dyn Engine>,
    /// Plain services.
    pub(crate) service: Arc<dyn Service>,
    /// Store VMs.
    pub(crate) store: Arc<dyn Store>,
}
