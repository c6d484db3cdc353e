//! Authentication of callers by their API key.

use std::sync::Arc;

use http::HeaderMap;
use http::header::AUTHORIZATION;
use wisteriahitch_config::key_hash;
use wisteriahitch_types::{Code, DurationUs, RequestId, WorkspaceId};

use super::Refusal;
use crate::shared::{InForce, Shared};

const BEARER: &str = "Bearer ";
const API_KEY_HEADER: &str = "x-api-key";

/// `retry-after` of a daemon that has no configuration yet.
const NOT_READY_RETRY_US: DurationUs = DurationUs::from_ms(1_000);

/// The workspace that sent a request, and the configuration that the request is served under.
///
/// The configuration is loaded once for each request, so that a version activated meanwhile never
/// mixes with the one under which the request was routed.
#[derive(Clone)]
pub(crate) struct Identity {
    /// Configuration used for the whole duration of the request.
    pub(crate) in_force: Arc<InForce>,
    /// Workspace that owns the caller's key.
    pub(crate) workspace: WorkspaceId,
}

/// Identifies the workspace by the caller's key alone; nothing else that the caller sends is
/// trusted for it.
pub(crate) fn identify(shared: &Shared, headers: &HeaderMap) -> Result<Identity, Refusal> {
    let Some(in_force) = shared.in_force.load_full() else {
        return Err(Refusal::new(Code::NotReady).with_retry_after_us(NOT_READY_RETRY_US));
    };
    let secret = get_secret(headers).ok_or_else(|| Refusal::new(Code::UnknownKey))?;
    let workspace = in_force
        .configuration
        .workspace_by_key(&key_hash(secret))
        .map(|workspace| workspace.id.clone())
        .ok_or_else(|| Refusal::new(Code::UnknownKey))?;
    Ok(Identity {
        in_force,
        workspace,
    })
}

fn get_secret(headers: &HeaderMap) -> Option<&str> {
    let bearer = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.strip_prefix(BEARER));
    bearer.or_else(|| headers.get(API_KEY_HEADER)?.to_str().ok())
}

/// Generates the id of a new request from the daemon's incarnation and a random number.
///
/// Callers can't choose it: two callers that chose the same id could be given each other's answers.
pub(crate) fn new_request_id(shared: &Shared) -> RequestId {
    let number: u128 = rand::random();
    let text = format!("r-{:x}-{number:032x}", shared.incarnation.get());
    text.parse()
        .unwrap_or_else(|_| unreachable!("hexadecimal digits make a valid name"))
}
