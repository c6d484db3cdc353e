//! The `config` command: checks, submits and shows the configuration.

use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::Context;
use http::Method;
use serde_json::json;
use wisteriahitch::config::Configuration;
use wisteriahitch::types::SubmissionId;

use crate::client::Client;
use crate::flags::{Config, ConfigCmd, Submit, Wisteriahitch};
use crate::output::{print_answer, print_submission_answer};
use crate::render;

/// Runs `wisteriahitch config …`.
pub(crate) async fn run(flags: &Wisteriahitch, config: &Config) -> anyhow::Result<bool> {
    match &config.subcommand {
        ConfigCmd::Check(check) => run_check(flags, &check.path),
        ConfigCmd::Submit(submit) => run_submit(flags, submit).await,
        ConfigCmd::Show(_) => run_show(flags).await,
        ConfigCmd::History(_) => run_history(flags).await,
    }
}

fn read_file(path: &Path) -> anyhow::Result<String> {
    std::fs::read_to_string(path).with_context(|| format!("{} can't be read", path.display()))
}

fn run_check(flags: &Wisteriahitch, path: &Path) -> anyhow::Result<bool> {
    let text = read_file(path)?;
    let report = match Configuration::check(&text) {
        Ok(_) => {
            println!(
                "{}",
                if flags.json {
                    r#"{"problems":[]}"#
                } else {
                    "no problems"
                }
            );
            return Ok(true);
        }
        Err(report) => report,
    };
    if flags.json {
        println!("{}", json!({ "problems": report.problems() }));
    } else {
        eprintln!("{}", report.in_file(&path.display().to_string()));
    }
    Ok(false)
}

/// Submits a file under a submission id that is chosen before anything is sent.
///
/// A daemon generates an id where none is given, but an operator who never receives its answer
/// doesn't know that id and can't submit again with it.
async fn run_submit(flags: &Wisteriahitch, submit: &Submit) -> anyhow::Result<bool> {
    let text = read_file(&submit.path)?;
    let client = Client::from_flags(flags)?;
    let id = match &submit.submission {
        Some(id) => id.clone(),
        None => generate_submission_id()?,
    };
    let mut path = format!("/v1/config?submission={id}");
    if let Some(base) = submit.base {
        path += &format!("&base={base}");
    }
    let call_result = client.call(Method::POST, &path, text).await;
    let answer = call_result.with_context(|| render::resubmit_hint(&id))?;
    let file = submit.path.display().to_string();
    let is_accepted = print_submission_answer(&answer, flags.json, Some(&file), render::accepted)?;
    if answer.status.is_server_error() {
        eprintln!("{}", render::resubmit_hint(&id));
    }
    Ok(is_accepted)
}

/// Generates a unique submission id from the current time and the process id.
fn generate_submission_id() -> anyhow::Result<SubmissionId> {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let at_ns = since_epoch.map_or(0, |span| span.as_nanos());
    let name = format!("s-{at_ns:x}-{:x}", std::process::id());
    Ok(name.parse()?)
}

async fn run_show(flags: &Wisteriahitch) -> anyhow::Result<bool> {
    let answer = Client::from_flags(flags)?
        .call(Method::GET, "/v1/config", "")
        .await?;
    let text = String::from_utf8_lossy(&answer.body);
    if answer.status.is_success() {
        print!("{text}");
        return Ok(true);
    }
    eprint!("{}", render::failure(answer.status, &answer.json()?, None));
    Ok(false)
}

async fn run_history(flags: &Wisteriahitch) -> anyhow::Result<bool> {
    let answer = Client::from_flags(flags)?
        .call(Method::GET, "/v1/config/history", "")
        .await?;
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let now_unix_ms = since_epoch.map_or(0, |span| span.as_millis());
    let now_unix_ms = u64::try_from(now_unix_ms).unwrap_or(u64::MAX);
    print_answer(&answer, flags.json, |value| {
        render::history(value, now_unix_ms)
    })
}
