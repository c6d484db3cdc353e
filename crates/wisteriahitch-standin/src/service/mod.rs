//! Stand-in for a plain service, which counts the runs of each request.

mod control;
mod handler;
mod options;

pub use control::{ServiceControl, ServiceMode};
pub use options::ServiceOptions;

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Serialize;

use crate::util::{ListenerGate, Server, run_until_signal};
use handler::ServiceHandler;

/// Serves a plain service until it is dropped.
#[derive(Debug)]
pub struct ServiceStandin {
    server: Server,
}

#[derive(Serialize)]
struct Announcement {
    listening: SocketAddr,
}

impl ServiceStandin {
    /// Starts the stand-in with all counters at zero.
    pub async fn start(options: &ServiceOptions) -> anyhow::Result<Self> {
        let handler = Arc::new(ServiceHandler::new(options));
        let server = Server::start(options.listen, handler, ListenerGate::new()).await?;
        Ok(Self { server })
    }

    /// Returns the address that is served.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

/// Serves the plain service's stand-in until the process receives SIGTERM or SIGINT.
pub async fn run(options: ServiceOptions) -> anyhow::Result<()> {
    let standin = ServiceStandin::start(&options).await?;
    let announcement = Announcement {
        listening: standin.address(),
    };
    run_until_signal(&announcement).await
}
