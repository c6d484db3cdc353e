//! Checks a configuration and explains which of its rules decides for a request.
//!
//! Run it with `cargo run -p wisteriahitch --example explain [FILE]`; `docs/RULES.md` has the form
//! of the file. Without a file it takes the demo's.

use anyhow::{Context, ensure};
use wisteriahitch::config::{Configuration, RequestFacts};
use wisteriahitch::types::TokenCount;

const DEMO: &str = include_str!("../../../examples/demo.toml");

/// A text with a mistake, to show what a report says.
const MISTAKEN: &str = "availability_zones = [\"a\"]\n[limits]\nticket_lifetime = 60\n";

fn main() -> anyhow::Result<()> {
    let text = match std::env::args().nth(1) {
        Some(path) => std::fs::read_to_string(&path).with_context(|| path)?,
        None => DEMO.to_owned(),
    };
    let configuration = Configuration::check(&text).map_err(|report| {
        let problems = report.problems().len();
        anyhow::anyhow!("{problems} problems:\n{report}")
    })?;
    println!(
        "the configuration is right: {} rules",
        configuration.rules.len()
    );

    let workspace = configuration.workspaces.keys().next();
    let facts = RequestFacts {
        workspace: workspace.cloned(),
        method: "POST".to_owned(),
        path: "/v1/completions".to_owned(),
        model: configuration.models.keys().next().cloned(),
        prompt_tokens: Some(TokenCount::new(4_000)),
        ..RequestFacts::default()
    };
    for trace in configuration.explain(&facts) {
        println!("  {trace}");
    }
    println!("decided by {}", configuration.decide(&facts).name);

    let report = Configuration::check(MISTAKEN).err();
    let report = report.context("the mistake went unnoticed")?;
    ensure!(!report.problems().is_empty());
    println!("and a mistake is reported so:\n{report}");
    Ok(())
}
