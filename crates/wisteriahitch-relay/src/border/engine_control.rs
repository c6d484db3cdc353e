//! Orders to engines, and reports from them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use wisteriahitch_types::{
    EndpointId, EndpointInstance, EndpointStart, FenceNumber, ModelName, TimeUs, WeightNumber,
};
use wisteriahitch_wire::connection_pool::Connection;
use wisteriahitch_wire::http_client::HttpError;

/// State that an engine reports. It lags by a few hundred milliseconds.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineReport {
    /// Start of the reporting process, if it reports one.
    pub start: Option<EndpointStart>,
    /// Weights of each model.
    pub weights: BTreeMap<ModelName, WeightNumber>,
    /// Whether it is carrying out an order.
    pub is_busy: bool,
    /// Number of orders that it has accepted since its start.
    pub accepted_orders: u64,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of running requests.
    pub running: u32,
}

impl EngineReport {
    /// Returns whether the report can come from this instance: false only if both have a start and
    /// the starts differ.
    pub(crate) fn matches_instance(&self, instance: &EndpointInstance) -> bool {
        self.start.is_none() || instance.start.is_none() || self.start == instance.start
    }
}

/// An order to load new weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightOrder {
    /// Endpoint that the order is for. Any other endpoint must refuse it.
    pub endpoint: EndpointId,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Model whose weights are loaded.
    pub model: ModelName,
    /// Version of the weights to load.
    pub version: WeightNumber,
    /// Daemon that holds the lease for giving orders.
    pub holder: String,
    /// Number of orders that the endpoint must have accepted so far; otherwise it doesn't accept
    /// this one.
    pub expected_orders: u64,
}

/// Permission to send one order now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderPermit {
    /// Fence number of the lease, to be sent with the order. An endpoint refuses orders with a lower
    /// number than it has seen.
    pub fence: FenceNumber,
    /// Time of the [`BootClock`](crate::BootClock) from which no byte of the order may be sent, and at
    /// which the wait for the answer ends.
    pub expires_at_us: TimeUs,
}

/// Outcome of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The endpoint carries it out.
    Accepted,
    /// The endpoint already has what the order asks for.
    AlreadyDone,
    /// The endpoint accepted another order first.
    Conflict,
    /// A lease holder with a higher fence number has given orders.
    Fenced,
    /// The endpoint refused it with this HTTP status.
    Refused(u16),
    /// No byte of it was sent; the text says why.
    NotSent(String),
    /// It is unknown whether it is or will be carried out; the text says why.
    Unknown(String),
}

/// What a process states about itself, at the address of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointIdentity {
    /// It is the endpoint. This is the start of its process, if it reports one.
    Reported(Option<EndpointStart>),
    /// It is the endpoint. The response doesn't contain the start of the process.
    IdOnly,
    /// It is another endpoint.
    Other,
}

impl EndpointIdentity {
    /// Returns whether the process is this instance of the endpoint.
    ///
    /// An endpoint that reports its start keeps its id over a restart, so the start must be the same.
    /// Any other endpoint gets a new id at each start.
    pub(crate) fn is_instance(self, instance: &EndpointInstance) -> bool {
        match self {
            EndpointIdentity::Reported(start) => {
                instance.start.is_none() || start == instance.start
            }
            EndpointIdentity::IdOnly => true,
            EndpointIdentity::Other => false,
        }
    }
}

/// Sends orders to engines and fetches their reports.
#[async_trait]
pub trait EngineControl: Send + Sync {
    /// Sends an order if `permit` allows it once the connection is open, and waits for the answer
    /// until the permit expires. Each write to the connection checks that it hasn't expired.
    ///
    /// The process may be suspended while the connection opens. With an earlier permit, the order
    /// could reach the engine after another daemon has acquired the lease, or with the fence number
    /// of a lease that this daemon had before.
    async fn send_order(
        &self,
        order: &WeightOrder,
        permit: &(dyn Fn() -> Option<OrderPermit> + Send + Sync),
    ) -> OrderOutcome;

    /// Fetches an engine's report.
    async fn fetch_report(
        &self,
        endpoint: &EndpointId,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<EngineReport, HttpError>;

    /// Queries, on an open connection, the start of the process at the other end. Returns `None` if
    /// it reports none.
    async fn fetch_start(
        &self,
        endpoint: &EndpointId,
        connection: &mut Connection,
        timeout: Duration,
    ) -> Result<Option<EndpointStart>, HttpError>;

    /// Fetches, on an open connection, the identity of the process at the other end: from the report of
    /// an engine, or from the health check of another endpoint at `health_path`.
    ///
    /// # Errors
    ///
    /// [`HttpError`] if there is no response, or if it names no endpoint or answers an earlier call.
    async fn fetch_identity(
        &self,
        endpoint: &EndpointId,
        health_path: Option<&str>,
        connection: &mut Connection,
        timeout: Duration,
    ) -> Result<EndpointIdentity, HttpError>;
}
