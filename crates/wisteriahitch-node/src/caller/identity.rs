//! Whose request it is.

use std::sync::Arc;

use http::HeaderMap;
use http::header::AUTHORIZATION;
use wisteriahitch_config::key_hash;
use wisteriahitch_types::{Code, DurationUs, RequestId, WorkspaceId};

use super::Refusal;
use crate::shared::{InForce, Shared};

const BEARER: &str = "Bearer ";
const API_KEY_HEADER: &str = "x-api-key";

/// When a caller may come back to a daemon that has no configuration yet.
const NOT_READY_RETRY_US: DurationUs = DurationUs::from_ms(1_000);

/// Holds who sent a request, and the configuration that it is served under.
///
/// The configuration is taken once, so that a version that comes into force meanwhile never mixes
/// with the one that the request was decided under.
#[derive(Clone)]
pub(crate) struct Identity {
    /// Configuration for the whole life of the request.
    pub(crate) in_force: Arc<InForce>,
    /// Workspace that the caller's key belongs to.
    pub(crate) workspace: WorkspaceId,
}

/// Finds the workspace of the caller's key, and of nothing else that the caller sends.
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

/// Draws the id of a new request.
///
/// It is never taken from the caller: two callers that chose the same one could be given each
/// other's answers.
pub(crate) fn new_request_id(shared: &Shared) -> RequestId {
    let number: u128 = rand::random();
    let text = format!("r-{:x}-{number:032x}", shared.incarnation.get());
    text.parse()
        .unwrap_or_else(|_| unreachable!("hexadecimal digits make a valid name"))
}
