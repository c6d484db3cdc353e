//! Queries whether the process of an endpoint still runs, after an answer of it ended with its
//! connection (`docs/design/answer-ends.md`).

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};
use wisteriahitch_types::EndpointInstance;
use wisteriahitch_wire::connection_pool::Connection;
use wisteriahitch_wire::http_client::{HttpError, HttpErrorKind};

use super::crashes::record_alive;
use super::endpoint_connections::{
    ConnectTarget, connect_through, connect_through_peer, keep_for_call,
};
use super::forwarding::ForwardPurpose;
use super::shared::Shared;
use crate::decide::endpoint_table::instance_short_name;
use crate::decide::placement::Placement;
use crate::observe::Event;

/// Maximum time to connect to an endpoint, which allows for a slow link. Together with
/// [`RESPONSE_TIMEOUT`], it is the time that an answer waits for evidence.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum time for a response on a new connection, which allows for a slow link.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum time for a response on a pooled connection. It may be broken without notice, and a new one
/// is then opened in the time that is left.
const POOLED_RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum idle time of a pooled connection that is used.
const MAX_IDLE_TIME: Duration = Duration::from_millis(1_000);

/// Pause after a query without a positive result, so that answers which still wait don't query without
/// a pause.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A query, shared by all answers that wait for evidence about the same endpoint.
pub(super) struct LivenessQuery {
    endpoint: EndpointInstance,
    address: SocketAddr,
    /// Path of the health check, unless the endpoint is an engine, which has a report.
    health_path: Option<String>,
    /// Daemon that forwarded the answer, if one did. It reaches the endpoint, also while it drains.
    forwarder: Option<SocketAddr>,
}

/// A connection for a query.
struct QueryConnection {
    connection: Connection,
    /// Whether it may be used for a call afterwards.
    is_reusable: bool,
}

impl LivenessQuery {
    /// Creates a query about the endpoint of a placement.
    pub(super) fn new(
        shared: &Shared,
        placement: &Placement,
        forwarder: Option<SocketAddr>,
    ) -> Self {
        Self {
            endpoint: placement.endpoint.clone(),
            address: placement.address,
            health_path: health_path(shared, placement),
            forwarder,
        }
    }

    /// Sends the query and records its result. Wakes all who wait for evidence, whatever the result.
    pub(super) async fn run(self, shared: Arc<Shared>) {
        let started_at = shared.now();
        let failure = match self.is_instance_running(&shared).await {
            Ok(true) => {
                record_alive(&shared, &self.endpoint, started_at);
                None
            }
            Ok(false) => Some("another process answered".to_owned()),
            Err(error) => Some(error.detail().to_owned()),
        };
        if let Some(failure) = failure {
            shared.log.write(&Event::Failure {
                what: "querying an endpoint after an answer",
                detail: format!("{}: {failure}", self.endpoint),
            });
            sleep(RETRY_INTERVAL).await;
        }
        let instance_name = instance_short_name(&self.endpoint);
        shared.crash_evidence.lock().end_query(instance_name);
        shared.crash_evidence_changed.notify_waiters();
    }

    /// Returns whether the process at the endpoint's address is the same instance.
    async fn is_instance_running(&self, shared: &Arc<Shared>) -> Result<bool, HttpError> {
        let pooled = shared.checkout_connection(&self.endpoint, MAX_IDLE_TIME);
        if let Some(connection) = pooled.await {
            let pooled = QueryConnection {
                connection,
                is_reusable: true,
            };
            let response = self.query_on(shared, pooled, POOLED_RESPONSE_TIMEOUT);
            if let Ok(is_instance) = response.await {
                return Ok(is_instance);
            }
        }
        let opened = self.connect(shared).await?;
        self.query_on(shared, opened, RESPONSE_TIMEOUT).await
    }

    /// Queries on an open connection, and returns the connection to the pool if it can be reused.
    async fn query_on(
        &self,
        shared: &Shared,
        mut opened: QueryConnection,
        timeout: Duration,
    ) -> Result<bool, HttpError> {
        let engines = &shared.borders.engines;
        let path = self.health_path.as_deref();
        let connection = &mut opened.connection;
        let identity = engines.fetch_identity(&self.endpoint.id, path, connection, timeout);
        let is_instance = identity.await?.is_instance(&self.endpoint);
        let target = ConnectTarget::of(&shared.endpoints.lock(), &self.endpoint);
        let target = target.filter(|_| opened.is_reusable && is_instance);
        if let Some(target) = target
            && opened.connection.ready().await
        {
            keep_for_call(shared, &target, opened.connection);
        }
        Ok(is_instance)
    }

    async fn connect(&self, shared: &Arc<Shared>) -> Result<QueryConnection, HttpError> {
        let without_reuse = |connection| QueryConnection {
            connection,
            is_reusable: false,
        };
        let target = ConnectTarget::of(&shared.endpoints.lock(), &self.endpoint);
        let Some(target) = target else {
            // The endpoint isn't registered any more, and may still be answering earlier calls.
            let opened = Connection::open(self.address, CONNECT_TIMEOUT).await;
            return opened.map(without_reuse);
        };
        let is_partitioned = shared.links.lock().is_partitioned(&target.service);
        if !is_partitioned
            && let Ok(connection) = Connection::open(self.address, CONNECT_TIMEOUT).await
        {
            return Ok(QueryConnection {
                connection,
                is_reusable: true,
            });
        }
        let purpose = ForwardPurpose::Query;
        let deadline = Instant::now() + CONNECT_TIMEOUT;
        if let Some(forwarder) = self.forwarder
            && let Ok(connection) =
                connect_through(shared, &target, forwarder, purpose, deadline).await
        {
            return Ok(without_reuse(connection));
        }
        let opened = connect_through_peer(shared, &target, purpose, deadline).await;
        opened
            .map(without_reuse)
            .map_err(|_| HttpError::new(HttpErrorKind::NotSent, "no daemon reaches the endpoint"))
    }
}

/// Returns the path of the health check of a placement's endpoint, unless it is an engine.
fn health_path(shared: &Shared, placement: &Placement) -> Option<String> {
    let config = shared.site.config()?;
    let endpoints = shared.endpoints.lock();
    let row = endpoints.get(&placement.endpoint)?;
    let service = config.services.get(&row.endpoint.service)?;
    match service.engine {
        Some(_) => None,
        None => service.health_path.clone(),
    }
}
