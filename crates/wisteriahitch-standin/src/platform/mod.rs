//! Stand-in of the platform: objects with versions, watches and the lagging list of VMs.

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
    /// Starts with no objects.
    ///
    /// A second address serves the same and stays reachable while the first refuses connections.
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

    /// Returns the address that takes `/control` also while connections are refused.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }
}

/// Serves the platform's stand-in until the process is told to end.
pub async fn run(options: PlatformOptions) -> anyhow::Result<()> {
    let standin = PlatformStandin::start(&options).await?;
    let announcement = Announcement {
        listening: standin.address(),
        control: standin.control_address(),
    };
    run_until_signal(&announcement).await
}
