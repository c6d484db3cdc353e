//! Submitting and showing the configuration.

use std::sync::Arc;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderValue, Response, StatusCode};
use serde_json::json;
use wisteriahitch_config::{Report, Sections};
use wisteriahitch_types::{Code, SubmissionId};

use crate::caller::body::{ResponseBody, full_body};
use crate::caller::{Refusal, json_response};
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
    let sections = current.map_or_else(Sections::default, |current| current.sections.clone());
    let merged = match sections.accept(text) {
        Ok((merged, _)) => merged,
        Err(report) => return Ok(render_report(&report)),
    };
    let version =
        shared.submit_config(&merged, submission.clone()).await.map_err(Refusal::new)?;
    shared.read_config().await;
    Ok(json_response(&json!({
        "version": version,
        "submission": submission,
        "held_by_peers": 0,
        "held_in_availability_zones": 0,
    })))
}

fn get_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let parts = query.split('&').filter_map(|part| part.split_once('='));
    parts.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
}

fn get_submission(query: &str) -> Result<SubmissionId, Refusal> {
    let Some(text) = get_parameter(query, "submission") else {
        let drawn: u128 = rand::random();
        return format!("s-{drawn:032x}").parse().map_err(|_| Refusal::new(Code::Internal));
    };
    text.parse().map_err(|error: wisteriahitch_types::ParseIdError| {
        Refusal::new(Code::BadHttp).with_message(error.to_string())
    })
}

fn render_report(report: &Report) -> Response<ResponseBody> {
    let mut response = json_response(&json!({ "problems": report.problems() }));
    *response.status_mut() = StatusCode::UNPROCESSABLE_ENTITY;
    response
}

/// Answers `GET /v1/config` with the text in force.
pub(crate) fn show(shared: &Shared) -> Result<Response<ResponseBody>, Refusal> {
    let in_force = shared.in_force.load_full().ok_or_else(|| Refusal::new(Code::NotReady))?;
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
    let in_force = shared.in_force.load_full().ok_or_else(|| Refusal::new(Code::NotReady))?;
    Ok(json_response(&json!({ "history": [{ "version": in_force.version }] })))
}
