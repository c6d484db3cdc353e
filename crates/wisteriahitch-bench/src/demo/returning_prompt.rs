//! A prompt that returns after its cache was evicted gets its first token from a tier.

use std::fmt::Write;

use anyhow::ensure;
use serde_json::Value;
use wisteriahitch::types::TokenCount;

use super::Site;
use super::site::{MODEL, poll};
use crate::caller::{Completion, CompletionAnswer};

/// Whole pieces of the history, each of 2,000 tokens.
const HISTORY_TOKENS: u64 = 8_000;
const QUESTION_TOKENS: u64 = 40;
const ANSWER_TOKENS: TokenCount = TokenCount::new(16);

/// Most other prompts that are sent to push the history out of the accelerators' memory.
const MAX_FILLERS: u64 = 40;

/// Shows the case.
pub(crate) async fn show(site: &Site) -> anyhow::Result<()> {
    let history = completion("history", HISTORY_TOKENS + QUESTION_TOKENS)?;
    let first = ask(site, &history).await?;
    poll("the history's blocks to be saved", async || {
        let blocks = site.locate(&history.prompt).await?;
        Ok(!blocks.is_empty() && blocks.iter().all(|block| has_any(block, "stores")))
    })
    .await?;
    evict(site, &history).await?;
    let back = ask(site, &history).await?;
    print_visit("first visit", &first);
    print_visit("return after eviction", &back);
    ensure!(
        back.cached_tokens.get() >= HISTORY_TOKENS,
        "only {} came from a tier",
        back.cached_tokens
    );
    ensure!(
        back.first_token < first.first_token,
        "the return was no faster"
    );
    Ok(())
}

async fn ask(site: &Site, completion: &Completion) -> anyhow::Result<CompletionAnswer> {
    let answer = site.caller().complete(site.entries[0], completion).await?;
    ensure!(
        completion.is_answer(&answer),
        "the answer is wrong or not whole"
    );
    Ok(answer)
}

/// Sends other prompts until no endpoint holds any block of the history.
async fn evict(site: &Site, history: &Completion) -> anyhow::Result<()> {
    for number in 0..MAX_FILLERS {
        let filler = completion(&format!("filler{number}"), HISTORY_TOKENS)?;
        ask(site, &filler).await?;
        if is_evicted(&site.locate(&history.prompt).await?) {
            return Ok(());
        }
    }
    poll("the history to be evicted", async || {
        Ok(is_evicted(&site.locate(&history.prompt).await?))
    })
    .await
}

fn is_evicted(blocks: &[Value]) -> bool {
    !blocks.iter().any(|block| has_any(block, "endpoints"))
}

fn has_any(block: &Value, name: &str) -> bool {
    block[name]
        .as_array()
        .is_some_and(|places| !places.is_empty())
}

fn completion(name: &str, tokens: u64) -> anyhow::Result<Completion> {
    let mut prompt = String::new();
    for number in 0..tokens {
        write!(prompt, "{name}{number} ")?;
    }
    Ok(Completion {
        model: MODEL.parse()?,
        adapter: None,
        prompt,
        max_tokens: ANSWER_TOKENS,
    })
}

fn print_visit(name: &str, answer: &CompletionAnswer) {
    let recomputed = answer.prompt_tokens.saturating_sub(answer.cached_tokens);
    println!(
        "{name}: first token after {} ms, {} of {} prompt tokens computed",
        answer.first_token.as_millis(),
        recomputed.get(),
        answer.prompt_tokens.get()
    );
}
