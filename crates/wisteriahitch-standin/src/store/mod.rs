//! Stand-in for a store VM: blocks in memory and on disk behind one link of limited rate.
//!
//! `POST /control` takes `{"fault":F}` with F one of `"none"`, `"full"`, `"freeze"`,
//! `{"slow_factor":N}`, `{"corrupt_reads":N}` and `{"short_reads":N}`, or `{"leaving":bool}`;
//! `GET /control` returns [`StoreCounters`]. The header `x-transfer-class: wait|save` on reads and
//! writes affects only the counters.

mod block;
mod control;
mod handler;
mod link;
mod options;
mod refusal;
mod state;
mod table;
mod tier_capacity;
mod transfer;

pub use control::{StoreControl, StoreCounters, StoreFault};
pub use options::StoreOptions;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Serialize;
use wisteriahitch_types::StoreIncarnation;

use crate::util::{ListenerGate, Server, run_until_signal};
use handler::StoreHandler;
use state::StoreState;

/// Header that names the class of a transfer.
pub(crate) const HEADER_TRANSFER_CLASS: &str = "x-transfer-class";

/// Serves one store until it is dropped.
///
/// # Examples
///
/// ```
/// use wisteriahitch_standin::store::{StoreOptions, StoreStandin};
/// use wisteriahitch_wire::http_client::{HttpClient, HttpClientOptions};
/// use wisteriahitch_wire::store::{HttpStore, Store};
///
/// # tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(async {
/// let standin = StoreStandin::start(StoreOptions::default()).await?;
/// let store = HttpStore::new(HttpClient::new(HttpClientOptions::default()));
/// let report = store.report(standin.address()).await?;
/// assert_eq!(&report.incarnation, standin.incarnation());
/// # anyhow::Ok(())
/// # })?;
/// # anyhow::Ok(())
/// ```
#[derive(Debug)]
pub struct StoreStandin {
    server: Server,
    incarnation: StoreIncarnation,
}

impl StoreStandin {
    /// Starts an empty store under a new incarnation.
    pub async fn start(options: StoreOptions) -> io::Result<Self> {
        let listen = options.listen;
        let incarnation = generate_incarnation()?;
        let state = Arc::new(StoreState::new(options, incarnation.clone()));
        let handler = Arc::new(StoreHandler { state });
        let server = Server::start(listen, handler, ListenerGate::new()).await?;
        Ok(Self {
            server,
            incarnation,
        })
    }

    /// Returns the address that is served.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the name of this incarnation of the store.
    pub fn incarnation(&self) -> &StoreIncarnation {
        &self.incarnation
    }
}

/// Generates a random incarnation name, so that no two incarnations share one.
fn generate_incarnation() -> io::Result<StoreIncarnation> {
    let number: u64 = rand::random();
    let name = format!("s{number:016x}");
    name.parse().map_err(io::Error::other)
}

#[derive(Serialize)]
struct Announcement<'a> {
    listening: SocketAddr,
    incarnation: &'a StoreIncarnation,
}

/// Serves a store until the process receives SIGTERM or SIGINT.
pub async fn run(options: StoreOptions) -> anyhow::Result<()> {
    let store = StoreStandin::start(options).await?;
    let announcement = Announcement {
        listening: store.address(),
        incarnation: store.incarnation(),
    };
    run_until_signal(&announcement).await
}
