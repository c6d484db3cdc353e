//! One completion from its place in the batch to its last token.

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
use super::line::{Place, Rank};
use super::models::NotRun;
use super::registry::RunEntry;
use super::state::EngineState;

/// Most requests that wait for a place in the batch.
const MAX_WAITING: u64 = 1024;

/// Finish reason of an answer that has all the tokens that were asked for.
pub(super) const FINISH_LENGTH: &str = "length";

/// Says that a run was cancelled by its id.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cancelled;

/// A completion that holds a place in the batch.
pub(super) struct Run {
    state: Arc<EngineState>,
    entry: RunEntry,
    body: CompletionBody,
    source: AnswerSource,
    place: Option<Place>,
    backlog: Backlog,
    cached_tokens: TokenCount,
    prompt_tokens: TokenCount,
    next_position: u64,
    /// When the next token is due, once the prompt has been read.
    due_at: Option<Instant>,
}

impl Run {
    /// Waits for a place in the batch.
    ///
    /// Every refusal is true: nothing of the request has been run before the place is taken.
    pub(super) async fn begin(
        state: &Arc<EngineState>,
        body: CompletionBody,
    ) -> Result<Self, NotRun> {
        let prompt_tokens = count_tokens(&body.prompt);
        check_can_run(state, &body)?;
        if state.batch.waiting() >= MAX_WAITING {
            return Err(unavailable("busy"));
        }
        let entry = state.runs.enter(body.wisteriahitch.request_id.clone());
        let mut backlog = Backlog::new(state, prompt_tokens);
        let rank = rank(&body, &entry);
        let place = tokio::select! {
            place = state.batch.enter(rank) => place,
            () = entry.cancelled() => return Err(unavailable("cancelled")),
        };
        // The weights may have been swapped while the request waited.
        check_can_run(state, &body)?;
        let extension = &body.wisteriahitch;
        let mut cache = state.cache.lock();
        let cached_tokens = cache.use_prefix(&extension.blocks, &extension.weight_version);
        drop(cache);
        backlog.take(cached_tokens.get());
        count_begin(state, &body, cached_tokens);
        let model = &body.model;
        let adapter = extension.adapter.as_ref();
        let version = &extension.weight_version;
        Ok(Self {
            state: Arc::clone(state),
            source: AnswerSource::new(&body.prompt, model, adapter, version),
            next_position: extension.position,
            entry,
            body,
            place: Some(place),
            backlog,
            cached_tokens,
            prompt_tokens,
            due_at: None,
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

    /// Returns the position in the middle of what is to be sent.
    pub(super) fn middle(&self) -> u64 {
        let first = self.body.wisteriahitch.position;
        first + (self.body.max_tokens.get() - first) / 2
    }

    /// Returns the next token when it is due, or nothing after the last one.
    pub(super) async fn next_token(&mut self) -> Result<Option<Token>, Cancelled> {
        if self.next_position >= self.body.max_tokens.get() {
            return Ok(None);
        }
        let state = Arc::clone(&self.state);
        let due_at = match self.due_at {
            Some(due_at) => due_at,
            None => self.read_prompt().await?,
        };
        tokio::select! {
            () = sleep_until(due_at) => {}
            () = self.entry.cancelled() => return Err(Cancelled),
        }
        state.freeze.wait_until_thawed().await;
        let decode = Duration::from(state.options.decode_us_per_token);
        self.due_at = Some(due_at + decode);
        Ok(Some(self.make_token()))
    }

    fn make_token(&mut self) -> Token {
        let position = self.next_position;
        self.next_position += 1;
        let is_last = self.next_position == self.body.max_tokens.get();
        if is_last {
            self.place = None;
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

    /// Reads what isn't held of the prompt, and the tokens of a resumed answer.
    async fn read_prompt(&mut self) -> Result<Instant, Cancelled> {
        let resumed_tokens = self.body.wisteriahitch.position;
        let prompt_rest = (self.prompt_tokens - self.cached_tokens).get();
        let mut left_tokens = prompt_rest + resumed_tokens;
        let rank = rank(&self.body, &self.entry);
        let state = Arc::clone(&self.state);
        let piece_tokens = state.options.piece_tokens.get().max(1);
        let mut server = None;
        let mut done_at = Instant::now();
        while left_tokens > 0 {
            // A waiting request of higher priority goes first between two pieces.
            if server.is_some() && state.prefill.has_better(rank) {
                server = None;
            }
            if server.is_none() {
                server = Some(self.unless_cancelled(state.prefill.enter(rank)).await?);
            }
            let piece = left_tokens.min(piece_tokens);
            let span = state.options.prefill_tokens_per_s;
            let span = span.time_for(TokenCount::new(piece));
            done_at = state.prefill_pacer.lock().book(span.into());
            self.unless_cancelled(sleep_until(done_at)).await?;
            left_tokens -= piece;
            self.backlog.take(piece);
        }
        drop(server);
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

    /// Stores the blocks of the prompt, the first one last, so that it is dropped last.
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
        if self.place.is_some() {
            self.state.counters.lock().cancelled_runs += 1;
        }
    }
}

/// Counts the prompt tokens of one request that still have to be read.
struct Backlog {
    state: Arc<EngineState>,
    left_tokens: u64,
}

impl Backlog {
    fn new(state: &Arc<EngineState>, tokens: TokenCount) -> Self {
        let tokens = tokens.get();
        state.backlog_tokens.fetch_add(tokens, Ordering::Relaxed);
        Self {
            state: Arc::clone(state),
            left_tokens: tokens,
        }
    }

    fn take(&mut self, tokens: u64) {
        let taken = tokens.min(self.left_tokens);
        self.left_tokens -= taken;
        let backlog = &self.state.backlog_tokens;
        backlog.fetch_sub(taken, Ordering::Relaxed);
    }
}

impl Drop for Backlog {
    fn drop(&mut self) {
        self.take(self.left_tokens);
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

fn count_begin(state: &EngineState, body: &CompletionBody, cached_tokens: TokenCount) {
    let mut counters = state.counters.lock();
    counters.add_run(&body.wisteriahitch.request_id);
    counters.cached_tokens += cached_tokens.get();
    counters.resumed_tokens += body.wisteriahitch.position;
}

fn rank(body: &CompletionBody, entry: &RunEntry) -> Rank {
    (Reverse(body.wisteriahitch.priority), entry.number())
}

const fn unavailable(reason: &'static str) -> NotRun {
    NotRun::new(StatusCode::SERVICE_UNAVAILABLE, reason)
}
