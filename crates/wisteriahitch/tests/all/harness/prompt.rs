//! Prompts and their checked answers.

use std::fmt::Write;

use wisteriahitch::types::TokenCount;
use wisteriahitch_bench::caller::{CallError, Caller, Completion, CompletionAnswer};

use super::Site;

/// Builds a prompt of its own words.
pub(crate) fn prompt(name: &str, tokens: u64, max_tokens: u64) -> Completion {
    let mut prompt = String::new();
    for number in 0..tokens {
        write!(prompt, "{name}{number} ").unwrap();
    }
    Completion {
        model: "hist-7b".parse().unwrap(),
        adapter: None,
        prompt,
        max_tokens: TokenCount::new(max_tokens),
    }
}

/// Asks a daemon for a completion; an answer that comes must be the request's own and whole.
pub(crate) async fn ask(
    site: &Site,
    daemon: usize,
    secret: &str,
    completion: &Completion,
) -> Result<CompletionAnswer, CallError> {
    let answer = Caller::new(secret)
        .complete(site.daemons[daemon].callers, completion)
        .await?;
    assert!(completion.is_answer(&answer), "a wrong answer: {answer:?}");
    Ok(answer)
}
