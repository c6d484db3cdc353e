//! Orders to a stand-in engine.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use serde::Deserialize;
use tokio::time::sleep;
use wisteriahitch_types::{FenceNumber, ModelName, WeightVersion};
use wisteriahitch_wire::engine::Order;

use super::completion::refuse;
use super::state::EngineState;
use crate::util::{Answer, answer_status};

/// An adapter loads in the load time of a model divided by this.
const ADAPTER_LOAD_DIVISOR: u32 = 10;

/// Body of an order, including orders that daemons never send.
#[derive(Deserialize)]
pub(super) struct OrderRequestBody {
    fence: FenceNumber,
    order: StandinOrder,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum StandinOrder {
    Known(Order),
    Leave(Leave),
}

#[derive(Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
enum Leave {
    Leave,
}

/// Executes an order and answers when it is done.
///
/// An accepted order is executed to its end even if its sender closes the connection.
pub(super) async fn handle_order(state: &Arc<EngineState>, body: OrderRequestBody) -> Answer {
    if !accept_fence(state, body.fence) {
        state.counters.lock().fenced_orders += 1;
        return refuse(StatusCode::CONFLICT, false, "fenced");
    }
    state.counters.lock().taken_orders += 1;
    let state = Arc::clone(state);
    let work = tokio::spawn(async move {
        match body.order {
            StandinOrder::Known(order) => execute_order(&state, order).await,
            StandinOrder::Leave(Leave::Leave) => {
                state.set_leaving(true);
                true
            }
        }
    });
    match work.await {
        Ok(true) => answer_status(StatusCode::OK),
        _ => refuse(
            StatusCode::SERVICE_UNAVAILABLE,
            true,
            "the model is not loaded",
        ),
    }
}

/// Records the fencing number and returns whether its order may be executed.
///
/// Only an engine with `checks_fence` refuses a number below the highest one seen.
fn accept_fence(state: &EngineState, fence: FenceNumber) -> bool {
    let mut highest = state.highest_fence.lock();
    let is_old = fence < *highest;
    *highest = fence.max(*highest);
    !is_old || !state.options.checks_fence
}

/// Executes an order; returns `false` for an adapter whose model is not loaded.
async fn execute_order(state: &EngineState, order: Order) -> bool {
    match order {
        Order::LoadModel {
            model,
            weight_version,
        } => load_model(state, model, weight_version).await,
        Order::UnloadModel { model } => {
            let mut models = state.models.lock();
            if let Some(version) = models.unload(&model) {
                state.cache.lock().evict_version(&model, &version);
            }
        }
        Order::LoadAdapter { model, adapter } => {
            sleep(Duration::from(state.options.load_model_us) / ADAPTER_LOAD_DIVISOR).await;
            return state.models.lock().add_adapter(&model, adapter);
        }
        Order::UnloadAdapter { model, adapter } => {
            state.models.lock().unload_adapter(&model, &adapter);
        }
        Order::SetRole { role } => *state.role.lock() = role,
    }
    true
}

async fn load_model(state: &EngineState, model: ModelName, version: WeightVersion) {
    let load_number = state.models.lock().begin_load(&model, &version);
    let Some(number) = load_number else {
        return;
    };
    sleep(state.options.load_model_us.into()).await;
    // Weights and cache change under the same lock of the models, so that no request of the new
    // version finds a block of the old one.
    let mut models = state.models.lock();
    if let Some(old) = models.finish_load(&model, version, number) {
        state.cache.lock().evict_version(&model, &old);
    }
}
