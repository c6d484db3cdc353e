//! Stand-in for the platform: versioned objects, watches and a delayed list of VMs.

mod answer;
mod call;
mod control;
mod handler;
mod object_table;
mod options;
mod vm_list;

pub use control::{PlatformControl, PlatformMode};
pub use options::PlatformOptions;
pub use vm_list::{VmEntry, VmList};

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Serialize;

use crate::util::{ListenerGate, Server, run_until_signal};
use handler::{PlatformHandler, SharedPlatformHandler};

/// Serves the platform's object API until it is dropped.
#[derive(Debug)]
pub struct PlatformStandin {
    objects: Server,
    control: Server,
}

#[derive(Serialize)]
struct Announcement {
    listening: SocketAddr,
    control: SocketAddr,
}

impl PlatformStandin {
    /// Starts the stand-in with no objects.
    ///
    /// A second address serves the same paths and stays reachable while the first one refuses
    /// connections.
    pub async fn start(options: &PlatformOptions) -> anyhow::Result<Self> {
        let gate = ListenerGate::new();
        let handler = PlatformHandler::new(options, gate.clone());
        let handler = Arc::new(SharedPlatformHandler(Arc::new(handler)));
        let control_listen = SocketAddr::new(options.listen.ip(), 0);
        let control = Server::start(control_listen, handler.clone(), ListenerGate::new()).await?;
        let objects = Server::start(options.listen, handler, gate).await?;
        Ok(Self { objects, control })
    }

    /// Returns the address of the object API.
    pub fn address(&self) -> SocketAddr {
        self.objects.address()
    }

    /// Returns the second address, which stays reachable in [`PlatformMode::Refuse`].
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }
}

/// Serves the platform's stand-in until the process receives SIGTERM or SIGINT.
pub async fn run(options: PlatformOptions) -> anyhow::Result<()> {
    let standin = PlatformStandin::start(&options).await?;
    let announcement = Announcement {
        listening: standin.address(),
        control: standin.control_address(),
    };
    run_until_signal(&announcement).await
}
