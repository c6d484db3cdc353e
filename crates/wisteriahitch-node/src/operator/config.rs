//! Submission and display of the configuration.

use std::sync::Arc;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderValue, Response, StatusCode};
use serde_json::json;
use wisteriahitch_config::{Report, Sections};
use wisteriahitch_core::fleet::SubmissionOutcome;
use wisteriahitch_types::{Code, ConfigVersion, ParseIdError, SubmissionId};

use crate::caller::body::{ResponseBody, full_body};
use crate::caller::{Refusal, json_response};
use crate::config::{SubmitError, Submitted};
use crate::shared::Shared;

/// Answers `POST /v1/config?submission=ID&base=N`.
pub(crate) async fn submit(
    shared: &Arc<Shared>,
    parts: &Parts,
    body: &Bytes,
) -> Result<Response<ResponseBody>, Refusal> {
    let text = std::str::from_utf8(body).map_err(|_| Refusal::new(Code::ConfigSyntax))?;
    let query = parts.uri.query().unwrap_or_default();
    let submission = get_submission(query)?;
    let current = shared.in_force.load_full();
    let in_force = current.as_ref().map(|current| current.version);
    let expected = get_base(query)?.or(in_force);
    let base = current.map_or_else(Sections::default, |current| current.sections.clone());
    let merged = match base.accept(text) {
        Ok((merged, _)) => merged,
        Err(report) => return Ok(render_report(&report)),
    };
    let submitted = Submitted {
        id: submission.clone(),
        base,
        merged,
        expected,
    };
    match shared.submit_configuration(submitted).await {
        Ok(outcome) => Ok(render_accepted(&outcome, &submission)),
        Err(SubmitError::Refused(report)) => Ok(render_report(&report)),
        Err(SubmitError::Failed(code)) => Err(Refusal::new(code)),
        Err(SubmitError::Outcome(outcome)) => Ok(render_outcome(&outcome)),
    }
}

fn render_accepted(
    outcome: &SubmissionOutcome,
    submission: &SubmissionId,
) -> Response<ResponseBody> {
    let SubmissionOutcome::Accepted { version, holders } = outcome else {
        return render_outcome(outcome);
    };
    json_response(&json!({
        "version": version,
        "submission": submission,
        "held_by_peers": holders.daemons,
        "held_in_availability_zones": holders.other_zones,
    }))
}

fn render_outcome(outcome: &SubmissionOutcome) -> Response<ResponseBody> {
    let code = outcome.code().unwrap_or(Code::ConfigUnknown);
    let winning_version = match outcome {
        SubmissionOutcome::Conflict { winner } => Some(*winner),
        _ => None,
    };
    let mut response = json_response(&json!({ "error": {
        "code": code,
        "message": code.summary(),
        "winning_version": winning_version,
    }}));
    let status = StatusCode::from_u16(code.http_status());
    *response.status_mut() = status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    response
}

fn get_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let parts = query.split('&').filter_map(|part| part.split_once('='));
    parts
        .into_iter()
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Returns the version given by the operator, the only one on top of which the submission may be
/// accepted.
fn get_base(query: &str) -> Result<Option<ConfigVersion>, Refusal> {
    let base = get_parameter(query, "base").map(str::parse).transpose();
    base.map_err(|error: ParseIdError| Refusal::new(Code::BadHttp).with_message(error.to_string()))
}

fn get_submission(query: &str) -> Result<SubmissionId, Refusal> {
    let Some(text) = get_parameter(query, "submission") else {
        let drawn: u128 = rand::random();
        return format!("s-{drawn:032x}")
            .parse()
            .map_err(|_| Refusal::new(Code::Internal));
    };
    text.parse()
        .map_err(|error: ParseIdError| Refusal::new(Code::BadHttp).with_message(error.to_string()))
}

fn render_report(report: &Report) -> Response<ResponseBody> {
    let mut response = json_response(&json!({ "problems": report.problems() }));
    *response.status_mut() = StatusCode::UNPROCESSABLE_ENTITY;
    response
}

/// Answers `GET /v1/config` with the text of the active configuration.
pub(crate) fn show(shared: &Shared) -> Result<Response<ResponseBody>, Refusal> {
    let in_force = shared
        .in_force
        .load_full()
        .ok_or_else(|| Refusal::new(Code::NotReady))?;
    let mut text = String::new();
    for (name, section) in in_force.sections.iter() {
        text += &format!("# {name}\n{}\n", section.text());
    }
    let mut response = Response::new(full_body(text));
    let version = HeaderValue::from(in_force.version.get());
    response.headers_mut().insert("x-config-version", version);
    Ok(response)
}

/// Answers `GET /v1/config/history`.
pub(crate) fn history(shared: &Shared) -> Result<Response<ResponseBody>, Refusal> {
    let in_force = shared
        .in_force
        .load_full()
        .ok_or_else(|| Refusal::new(Code::NotReady))?;
    let head = shared.complete_head();
    let history = head.map_or_else(Vec::new, |head| head.history);
    Ok(json_response(
        &json!({ "in_force": in_force.version, "history": history }),
    ))
}
