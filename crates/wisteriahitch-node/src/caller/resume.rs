//! Resuming a stream whose connection broke.

use std::sync::Arc;

use http::Response;
use http::request::Parts;
use wisteriahitch_types::{Code, RequestId};

use super::body::ResponseBody;
use super::identity::Identity;
use super::{Refusal, completion};
use crate::shared::Shared;

const PREFIX: &str = "/v1/requests/";
const SUFFIX: &str = "/stream";
const POSITION_PARAMETER: &str = "position=";

/// Answers `GET /v1/requests/{id}/stream?position=N`.
///
/// The rest comes from the same endpoint and weight version, since no other can continue the same
/// answer. If they are no longer available, the caller learns that its answer stays incomplete.
///
/// No refusal here says `not run`: a caller would take it to mean the original request, which did
/// run.
pub(crate) async fn answer(
    shared: &Arc<Shared>,
    identity: &Identity,
    parts: &Parts,
) -> Result<Response<ResponseBody>, Refusal> {
    let resumed = resume(shared, identity, parts).await;
    resumed.map_err(Refusal::with_outcome_unknown)
}

async fn resume(
    shared: &Arc<Shared>,
    identity: &Identity,
    parts: &Parts,
) -> Result<Response<ResponseBody>, Refusal> {
    let unknown = || Refusal::new(Code::UnknownRequest);
    let id = parts
        .uri
        .path()
        .strip_prefix(PREFIX)
        .and_then(|rest| rest.strip_suffix(SUFFIX));
    let id: RequestId = id.and_then(|id| id.parse().ok()).ok_or_else(unknown)?;
    let position = parse_position(parts.uri.query().unwrap_or_default())?;
    let opened = shared.try_open_stream()?;
    // To its caller a request of another workspace must look like one that never existed.
    let call = shared
        .find_resumable_call(&id, &identity.workspace, position)
        .ok_or_else(unknown)?;
    completion::run(shared, call, opened, true).await
}

fn parse_position(query: &str) -> Result<u64, Refusal> {
    let value = query
        .split('&')
        .find_map(|part| part.strip_prefix(POSITION_PARAMETER));
    let position = value.unwrap_or("0").parse();
    position.map_err(|_| Refusal::new(Code::BadHttp).with_message("position is not a number"))
}
