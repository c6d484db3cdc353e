//! Orders to engines and their reports.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use wisteriahitch_types::{
    EndpointId, EndpointInstance, EndpointStart, FenceNumber, ModelName, WeightNumber,
};
use wisteriahitch_wire::connection_pool::Connection;
use wisteriahitch_wire::http_client::HttpError;

/// What an engine reports of itself; it lags by some hundred milliseconds.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineReport {
    /// Start of the life that reports, where it tells it.
    pub start: Option<EndpointStart>,
    /// Weights of each model.
    pub weights: BTreeMap<ModelName, WeightNumber>,
    /// Whether it carries out an order.
    pub is_busy: bool,
    /// Orders that it has accepted since its start.
    pub accepted_orders: u64,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
}

impl EngineReport {
    /// Returns whether it speaks of this life, as far as both say which one they mean.
    pub(crate) fn matches_instance(&self, instance: &EndpointInstance) -> bool {
        self.start.is_none() || instance.start.is_none() || self.start == instance.start
    }
}

/// An order to load new weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightOrder {
    /// Endpoint that is meant; any other one must refuse.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: SocketAddr,
    /// Model.
    pub model: ModelName,
    /// Version to load.
    pub version: WeightNumber,
    /// Who gives the order.
    pub holder: String,
    /// Orders the holders.
    pub fence: FenceNumber,
    /// The order is void once the endpoint has accepted another number of orders than this.
    pub expected_orders: u64,
}

/// What became of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The endpoint carries it out.
    Accepted,
    /// What it asks for is so already.
    AlreadyDone,
    /// Another order came first.
    Conflict,
    /// A holder with a higher number has given orders.
    Fenced,
    /// The endpoint will not carry it out.
    Refused(u16),
    /// No byte of it left.
    NotSent(String),
    /// Whether it is or will be carried out isn't known.
    Unknown(String),
}

/// Gives orders to engines and reads their reports.
#[async_trait]
pub trait EngineControl: Send + Sync {
    /// Gives an order, if `permit` still allows it right before its first byte leaves, and waits for
    /// its answer for as long as the permit says.
    ///
    /// The process may be suspended while the connection opens. An order that was allowed before
    /// that would reach the engine after another daemon has taken over.
    async fn send_order(
        &self,
        order: &WeightOrder,
        permit: &(dyn Fn() -> Option<Duration> + Send + Sync),
    ) -> OrderOutcome;

    /// Reads an engine's report.
    async fn fetch_report(
        &self,
        endpoint: &EndpointId,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<EngineReport, HttpError>;

    /// Asks on an open connection for the start of the process at its other end; none where it tells none.
    async fn fetch_start(
        &self,
        endpoint: &EndpointId,
        connection: &mut Connection,
        timeout: Duration,
    ) -> Result<Option<EndpointStart>, HttpError>;
}
