//! One completion, from its admission to the batch to its last token.

use std::cmp::Reverse;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::StatusCode;
use tokio::time::{Instant, sleep_until};
use wisteriahitch_types::{RequestId, TokenCount};
use wisteriahitch_wire::engine::{CompletionBody, CompletionHead, Token};

use super::answer::{AnswerSource, count_tokens};
use super::cache::CachedBlock;
use super::models::NotRun;
use super::priority_slots::{Rank, Slot};
use super::registry::RunEntry;
use super::state::EngineState;

/// Maximum number of requests that wait for a slot in the batch; more are refused as busy.
const MAX_QUEUED_REQUESTS: u64 = 1024;

/// Finish reason of an answer that reached `max_tokens`.
pub(super) const FINISH_LENGTH: &str = "length";

/// A run was cancelled through its request id.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cancelled;

/// A completion that was admitted to the batch.
pub(super) struct Run {
    state: Arc<EngineState>,
    entry: RunEntry,
    body: CompletionBody,
    source: AnswerSource,
    slot: Option<Slot>,
    backlog: PromptBacklog,
    cached_tokens: TokenCount,
    prompt_tokens: TokenCount,
    next_position: u64,
    /// Time at which the next token is due; `None` until the prompt has been prefilled.
    next_token_at: Option<Instant>,
}

impl Run {
    /// Waits for a slot in the batch and looks up the cached prefix.
    ///
    /// Nothing of a request is run before it has its slot and its model has been checked again, so
    /// a request that is refused with [`NotRun`] has not run.
    pub(super) async fn begin(
        state: &Arc<EngineState>,
        body: CompletionBody,
    ) -> Result<Self, NotRun> {
        let prompt_tokens = count_tokens(&body.prompt);
        check_can_run(state, &body)?;
        if state.batch.waiting() >= MAX_QUEUED_REQUESTS {
            return Err(unavailable("busy"));
        }
        let entry = state.runs.register(body.wisteriahitch.request_id.clone());
        let mut backlog = PromptBacklog::new(state, prompt_tokens);
        let rank = rank(&body, &entry);
        let slot = tokio::select! {
            slot = state.batch.acquire(rank) => slot,
            () = entry.cancelled() => return Err(unavailable("cancelled")),
        };
        // The weights may have been swapped while the request waited.
        check_can_run(state, &body)?;
        let extension = &body.wisteriahitch;
        let mut cache = state.cache.lock();
        let cached_tokens = cache.use_cached_prefix(&extension.blocks, &extension.weight_version);
        drop(cache);
        backlog.consume(cached_tokens.get());
        count_started_run(state, &body, cached_tokens);
        let model = &body.model;
        let adapter = extension.adapter.as_ref();
        let version = &extension.weight_version;
        Ok(Self {
            state: Arc::clone(state),
            source: AnswerSource::new(&body.prompt, model, adapter, version),
            next_position: extension.position,
            entry,
            body,
            slot: Some(slot),
            backlog,
            cached_tokens,
            prompt_tokens,
            next_token_at: None,
        })
    }

    pub(super) fn head(&self) -> CompletionHead {
        let extension = &self.body.wisteriahitch;
        CompletionHead {
            request_id: extension.request_id.clone(),
            attempt: extension.attempt,
            weight_version: extension.weight_version.clone(),
            cached_tokens: self.cached_tokens,
        }
    }

    pub(super) fn request_id(&self) -> &RequestId {
        &self.body.wisteriahitch.request_id
    }

    pub(super) fn prompt_tokens(&self) -> TokenCount {
        self.prompt_tokens
    }

    /// Returns the position halfway through the tokens to be sent, where stream faults strike.
    pub(super) fn middle_position(&self) -> u64 {
        let first = self.body.wisteriahitch.position;
        first + (self.body.max_tokens.get() - first) / 2
    }

    /// Waits until the next token is due and returns it, or `None` after the last one.
    pub(super) async fn next_token(&mut self) -> Result<Option<Token>, Cancelled> {
        if self.next_position >= self.body.max_tokens.get() {
            return Ok(None);
        }
        let state = Arc::clone(&self.state);
        let next_token_at = match self.next_token_at {
            Some(next_token_at) => next_token_at,
            None => self.read_prompt().await?,
        };
        tokio::select! {
            () = sleep_until(next_token_at) => {}
            () = self.entry.cancelled() => return Err(Cancelled),
        }
        state.freeze.wait_until_thawed().await;
        let decode = Duration::from(state.options.decode_us_per_token);
        self.next_token_at = Some(next_token_at + decode);
        Ok(Some(self.make_token()))
    }

    fn make_token(&mut self) -> Token {
        let position = self.next_position;
        self.next_position += 1;
        let is_last = self.next_position == self.body.max_tokens.get();
        if is_last {
            self.slot = None;
        }
        self.state.counters.lock().decoded_tokens += 1;
        Token {
            request_id: self.request_id().clone(),
            attempt: self.body.wisteriahitch.attempt,
            position,
            text: self.source.token(position),
            finish_reason: is_last.then(|| FINISH_LENGTH.to_owned()),
        }
    }

    /// Prefills the uncached rest of the prompt and the already sent tokens of a resumed answer.
    ///
    /// Returns the time at which the prefill was done.
    async fn read_prompt(&mut self) -> Result<Instant, Cancelled> {
        let resumed_tokens = self.body.wisteriahitch.position;
        let prompt_rest = (self.prompt_tokens - self.cached_tokens).get();
        let mut remaining_tokens = prompt_rest + resumed_tokens;
        let rank = rank(&self.body, &self.entry);
        let state = Arc::clone(&self.state);
        let piece_tokens = state.options.piece_tokens.get().max(1);
        let mut prefill_slot = None;
        let mut done_at = Instant::now();
        while remaining_tokens > 0 {
            // Between two pieces, a waiting request that ranks before this one may go first.
            if prefill_slot.is_some() && state.prefill.has_waiter_before(rank) {
                prefill_slot = None;
            }
            if prefill_slot.is_none() {
                prefill_slot = Some(self.unless_cancelled(state.prefill.acquire(rank)).await?);
            }
            let piece = remaining_tokens.min(piece_tokens);
            let span = state.options.prefill_tokens_per_s;
            let span = span.time_for(TokenCount::new(piece));
            done_at = state.prefill_pacer.lock().schedule(span.into());
            self.unless_cancelled(sleep_until(done_at)).await?;
            remaining_tokens -= piece;
            self.backlog.consume(piece);
        }
        drop(prefill_slot);
        state.counters.lock().prefilled_tokens += prompt_rest;
        self.store_blocks();
        Ok(done_at)
    }

    async fn unless_cancelled<T>(&self, work: impl Future<Output = T>) -> Result<T, Cancelled> {
        tokio::select! {
            done = work => Ok(done),
            () = self.entry.cancelled() => Err(Cancelled),
        }
    }

    /// Caches the blocks of the prompt, the first one last, so that it is evicted last.
    fn store_blocks(&self) {
        let extension = &self.body.wisteriahitch;
        for block in extension.blocks.iter().rev() {
            let cached = CachedBlock {
                tokens: block.tokens,
                weight_version: extension.weight_version.clone(),
                model: Some(self.body.model.clone()),
            };
            self.state.store_block(block.key, cached);
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if self.slot.is_some() {
            self.state.counters.lock().cancelled_runs += 1;
        }
    }
}

/// Adds the unread prompt tokens of one request to the engine's backlog until it is dropped.
struct PromptBacklog {
    state: Arc<EngineState>,
    remaining_tokens: u64,
}

impl PromptBacklog {
    fn new(state: &Arc<EngineState>, tokens: TokenCount) -> Self {
        let tokens = tokens.get();
        state.backlog_tokens.fetch_add(tokens, Ordering::Relaxed);
        Self {
            state: Arc::clone(state),
            remaining_tokens: tokens,
        }
    }

    fn consume(&mut self, tokens: u64) {
        let consumed = tokens.min(self.remaining_tokens);
        self.remaining_tokens -= consumed;
        let backlog = &self.state.backlog_tokens;
        backlog.fetch_sub(consumed, Ordering::Relaxed);
    }
}

impl Drop for PromptBacklog {
    fn drop(&mut self) {
        self.consume(self.remaining_tokens);
    }
}

fn check_can_run(state: &EngineState, body: &CompletionBody) -> Result<(), NotRun> {
    if state.is_leaving() {
        return Err(unavailable("leaving"));
    }
    let extension = &body.wisteriahitch;
    let adapter = extension.adapter.as_ref();
    let models = state.models.lock();
    models.check(&body.model, adapter, &extension.weight_version)
}

fn count_started_run(state: &EngineState, body: &CompletionBody, cached_tokens: TokenCount) {
    let mut counters = state.counters.lock();
    counters.add_run(&body.wisteriahitch.request_id);
    counters.cached_tokens += cached_tokens.get();
    counters.resumed_tokens += body.wisteriahitch.position;
}

fn rank(body: &CompletionBody, entry: &RunEntry) -> Rank {
    (Reverse(body.wisteriahitch.priority), entry.arrival_number())
}

const fn unavailable(reason: &'static str) -> NotRun {
    NotRun::new(StatusCode::SERVICE_UNAVAILABLE, reason)
}
