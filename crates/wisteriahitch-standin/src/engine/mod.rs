//! Stand-in for a model engine: continuous batching, a prefix cache and KV transfer.
//!
//! One request at a time prefills its prompt, in pieces, in the order of priority and then of
//! arrival. Tokens are decoded at a fixed rate while a request occupies a slot in the batch.
//! Answers are a pure function of the request, see [`AnswerSource`].
//!
//! `POST /control` takes [`EngineControl`]: `{"fault":F,"count":N}` with F one of `"none"`,
//! `"freeze"`, `{"late_ms":N}`, `"wrong_request_id"`, `"repeat_position"`, `"skip_position"`,
//! `"close_midway"`, `"nonsense"`, `"refuse_not_run"`, `"reject"`, `"corrupt_export"` and
//! `"short_export"`, or `{"leaving":bool}`; `GET /control` returns [`EngineCounters`].

mod answer;
mod cache;
mod completion;
mod control;
mod handler;
mod kv_block;
mod models;
mod options;
mod order;
mod priority_slots;
mod registry;
mod run;
mod state;
mod transfer;

pub use answer::{AnswerSource, answer_token, count_tokens};
pub use control::{EngineControl, EngineCounters, EngineFault};
pub use kv_block::{
    HEADER_LEN, KvBlockError, KvBlockHeader, block_bytes, build_block, check_block,
};
pub use options::{EngineOptions, LoadedModel};

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use wisteriahitch_types::{DurationUs, EndpointId};

use crate::util::{ListenerGate, Server, run_until_signal};
use handler::EngineHandler;
use state::EngineState;

/// Serves one engine until it is dropped.
///
/// # Examples
///
/// ```
/// use wisteriahitch_standin::engine::{EngineOptions, EngineStandin};
/// use wisteriahitch_types::DurationUs;
/// use wisteriahitch_wire::engine::{Engine, HttpEngine};
/// use wisteriahitch_wire::http_client::{HttpClient, HttpClientOptions};
///
/// # tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(async {
/// let standin = EngineStandin::start(EngineOptions {
///     load_lag_us: DurationUs::ZERO,
///     ..EngineOptions::default()
/// })
/// .await?;
/// let engine = HttpEngine::new(HttpClient::new(HttpClientOptions::default()));
/// let load = engine.load(standin.address()).await?;
/// assert_eq!(load.running, 0);
/// # anyhow::Ok(())
/// # })?;
/// # anyhow::Ok(())
/// ```
#[derive(Debug)]
pub struct EngineStandin {
    server: Server,
    report_task: Option<JoinHandle<()>>,
}

impl EngineStandin {
    /// Starts an engine with an empty cache.
    pub async fn start(options: EngineOptions) -> io::Result<Self> {
        let listen = options.listen;
        let load_lag_us = options.load_lag_us;
        let state = Arc::new(EngineState::new(options));
        state.refresh_load_report();
        let handler = Arc::new(EngineHandler {
            state: Arc::clone(&state),
        });
        let server = Server::start(listen, handler, ListenerGate::new()).await?;
        let is_lagging = load_lag_us > DurationUs::ZERO;
        let report_task =
            is_lagging.then(|| tokio::spawn(refresh_load_reports(state, load_lag_us.into())));
        Ok(Self {
            server,
            report_task,
        })
    }

    /// Returns the address that is served.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

impl Drop for EngineStandin {
    fn drop(&mut self) {
        if let Some(report_task) = &self.report_task {
            report_task.abort();
        }
    }
}

/// Replaces the cached load report every `lag`.
async fn refresh_load_reports(state: Arc<EngineState>, lag: Duration) {
    loop {
        sleep(lag).await;
        state.refresh_load_report();
    }
}

#[derive(Serialize)]
struct Announcement {
    listening: SocketAddr,
    #[serde(skip_serializing_if = "Option::is_none")]
    id: Option<EndpointId>,
}

/// Serves an engine until the process receives SIGTERM or SIGINT.
pub async fn run(options: EngineOptions) -> anyhow::Result<()> {
    let id = options.id.clone();
    let engine = EngineStandin::start(options).await?;
    let announcement = Announcement {
        listening: engine.address(),
        id,
    };
    run_until_signal(&announcement).await
}
