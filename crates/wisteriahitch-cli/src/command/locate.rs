//! The `locate` command: lists where the cache blocks of a prompt are.

use anyhow::Context;
use http::Method;
use serde_json::json;

use crate::client::Client;
use crate::flags::{Locate, Wisteriahitch};
use crate::output::print_answer;
use crate::render;

/// Runs `wisteriahitch locate`.
pub(crate) async fn run(flags: &Wisteriahitch, locate: &Locate) -> anyhow::Result<bool> {
    let path = &locate.prompt_file;
    let prompt = std::fs::read_to_string(path)
        .with_context(|| format!("the prompt file {} can't be read", path.display()))?;
    let request_body =
        json!({"workspace": locate.workspace, "model": locate.model, "prompt": prompt});
    let client = Client::from_flags(flags)?;
    let answer = client
        .call(Method::POST, "/v1/locate", request_body.to_string())
        .await?;
    print_answer(&answer, flags.json, render::locate)
}
