//! The `explain` command: which rule and which endpoint a request is routed to, and why.

use std::collections::BTreeMap;

use anyhow::Context;
use http::Method;
use serde_json::{Value, json};

use crate::client::Client;
use crate::flags::{Explain, Wisteriahitch};
use crate::output::print_answer;
use crate::render;

/// Runs `wisteriahitch explain`.
pub(crate) async fn run(flags: &Wisteriahitch, explain: &Explain) -> anyhow::Result<bool> {
    let request_body = build_request_body(explain)?;
    let client = Client::from_flags(flags)?;
    let answer = client
        .call(Method::POST, "/v1/explain", request_body.to_string())
        .await?;
    print_answer(&answer, flags.json, render::explain)
}

fn build_request_body(explain: &Explain) -> anyhow::Result<Value> {
    let prompt = match &explain.prompt_file {
        Some(path) => Some(
            std::fs::read_to_string(path)
                .with_context(|| format!("the prompt file {} can't be read", path.display()))?,
        ),
        None => None,
    };
    let labels = parse_labels(&explain.label)?;
    Ok(json!({
        "workspace": explain.workspace,
        "method": explain.method.as_deref().unwrap_or("POST"),
        "path": explain.path.as_deref().unwrap_or("/v1/completions"),
        "model": explain.model,
        "adapter": explain.adapter,
        "stream": explain.stream,
        "prompt": prompt,
        "labels": labels,
    }))
}

fn parse_labels(labels: &[String]) -> anyhow::Result<BTreeMap<&str, &str>> {
    labels
        .iter()
        .map(|label| {
            label
                .split_once('=')
                .with_context(|| format!("{label:?} isn't NAME=VALUE"))
        })
        .collect()
}
