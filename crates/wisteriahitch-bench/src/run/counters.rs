//! What the stand-ins and daemons have counted at one moment.

use std::collections::BTreeMap;
use std::time::Instant;

use serde_json::Value;

use super::control::ControlClient;
use super::processes::{ProcessUse, control_bytes, process_use};
use crate::site::SiteAddresses;

/// Holds counts at one moment; the difference of two says what happened between them.
#[derive(Clone, Debug)]
pub struct Counters {
    /// When they were read.
    pub taken_at: Instant,
    /// Each store VM's counters.
    pub stores: BTreeMap<String, Value>,
    /// Each engine's counters.
    pub engines: BTreeMap<String, Value>,
    /// The platform's calls.
    pub platform: Value,
    /// Processor time and memory by process.
    pub processes: BTreeMap<String, ProcessUse>,
    /// Bytes that each daemon exchanged with peers and with the platform, where a script counts them.
    pub control_bytes: BTreeMap<String, u64>,
}

impl Counters {
    /// Reads every counter; a process that doesn't answer is left out.
    pub(crate) async fn take(
        client: &ControlClient,
        site: &SiteAddresses,
        directory: &std::path::Path,
    ) -> Self {
        let mut stores = BTreeMap::new();
        for store in &site.stores {
            if let Ok(value) = client.get(store.address, "/control").await {
                stores.insert(store.name.clone(), value);
            }
        }
        let mut engines = BTreeMap::new();
        for engine in &site.engines {
            if let Ok(value) = client.get(engine.address, "/control").await {
                engines.insert(engine.name.clone(), value);
            }
        }
        let platform = client.get(site.platform.address, "/control").await;
        Self {
            taken_at: Instant::now(),
            stores,
            engines,
            platform: platform.unwrap_or(Value::Null),
            processes: process_use(directory),
            control_bytes: control_bytes(directory),
        }
    }
}
