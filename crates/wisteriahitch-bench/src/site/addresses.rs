//! Where the processes of a site are, as its layout names them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use anyhow::Context;
use serde::{Deserialize, Serialize};
use wisteriahitch::types::{ByteRate, ModelName, WeightVersion};

use super::SiteName;

/// Holds the addresses of one daemon.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DaemonAddresses {
    /// Name of its process.
    pub name: String,
    /// For callers.
    pub callers: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// Holds the address of one stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Place {
    /// Name of its process.
    pub name: String,
    /// Address.
    pub address: SocketAddr,
}

/// Holds the address of a store VM's stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StorePlace {
    /// Name of its process.
    pub name: String,
    /// Address.
    pub address: SocketAddr,
    /// Speed of its link.
    pub link_bytes_per_s: ByteRate,
}

/// Holds how much of the load a workspace brings.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkspaceShare {
    /// Name.
    pub id: String,
    /// Part of the whole load.
    pub share: f64,
}

/// Holds what the tool has to know of a site that a script has started.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SiteAddresses {
    /// Site.
    pub site: SiteName,
    /// Policy that its daemons run.
    pub policy: String,
    /// Model that its engines serve.
    pub model: ModelName,
    /// Version of its weights.
    pub weight_version: WeightVersion,
    /// The platform's stand-in.
    pub platform: Place,
    /// Daemons.
    pub daemons: Vec<DaemonAddresses>,
    /// Engines.
    pub engines: Vec<Place>,
    /// Plain services.
    pub services: Vec<Place>,
    /// Store VMs.
    pub stores: Vec<StorePlace>,
    /// Workspaces.
    pub workspaces: Vec<WorkspaceShare>,
}

impl SiteAddresses {
    /// Reads the addresses from a layout's directory.
    pub fn read(directory: &Path) -> anyhow::Result<Self> {
        let path = directory.join("site.json");
        let text = std::fs::read_to_string(&path)
            .with_context(|| format!("{} can't be read", path.display()))?;
        Ok(serde_json::from_str(&text)?)
    }
}

/// Reads the ids of the processes that the script has started, by name.
pub(crate) fn read_pids(directory: &Path) -> BTreeMap<String, i32> {
    let text = std::fs::read_to_string(directory.join("pids")).unwrap_or_default();
    // A process that was started again stands in the file twice, and the later line counts.
    text.lines()
        .filter_map(|line| {
            let (name, pid) = line.split_once(' ')?;
            Some((name.to_owned(), pid.parse().ok()?))
        })
        .collect()
}
