//! Sends requests as a caller does, and checks the answers.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use wisteriahitch::types::{Code, ModelName};

use super::entry_list::EntryList;
use super::plain_checker::PlainChecker;
use super::{Outcome, Record, Subject};
use crate::caller::{CallError, Caller, Completion, CompletionAnswer};
use crate::load::{Arrival, LoadRequest, PlainKind, PromptRequest};
use crate::site::SiteSizes;

/// Maximum number of attempts, each at the next entry address, if connections break.
const MAX_ATTEMPTS: usize = 4;

/// Delay before the second copy of a duplicated call.
const DUPLICATE_DELAY: std::time::Duration = std::time::Duration::from_millis(10);

/// Sends the requests of one workspace.
pub(crate) struct Requester {
    pub(crate) workspace: usize,
    pub(crate) caller: Caller,
    pub(crate) entries: Arc<EntryList>,
    pub(crate) model: ModelName,
    pub(crate) sizes: Arc<SiteSizes>,
    pub(crate) plain: Arc<PlainChecker>,
    /// Start of the run.
    pub(crate) start: Instant,
}

impl Requester {
    /// Sends a request now and waits for its outcome.
    pub(crate) async fn send(&self, arrival: Arrival) -> Record {
        match arrival.request {
            LoadRequest::Prompt(request) => self.complete(arrival.at_us, request).await,
            LoadRequest::Plain {
                kind,
                is_duplicated,
                path,
            } => {
                self.call_plain(arrival.at_us, kind, is_duplicated, path)
                    .await
            }
        }
    }

    async fn complete(&self, at_us: u64, request: PromptRequest) -> Record {
        let class = self.sizes.classes.iter();
        let class = class.clone().find(|class| class.name == request.class);
        let completion = Completion {
            model: self.model.clone(),
            adapter: class.and_then(|class| class.adapter.parse().ok()),
            prompt: request.prompt(),
            max_tokens: request.answer_tokens,
        };
        let mut broken_tries = 0;
        let mut outcome = Outcome::Lost("no entry VM is known".to_owned());
        for entry in self
            .entries
            .for_random_caller()
            .into_iter()
            .cycle()
            .take(MAX_ATTEMPTS)
        {
            let result = self.caller.complete(entry, &completion).await;
            outcome = match result {
                Ok(answer) => self.answered_outcome(at_us, &completion, &answer),
                Err(error) if should_try_next_entry(&error) => {
                    broken_tries += 1;
                    Outcome::Lost(error.to_string())
                }
                Err(error) => self.failed_outcome(at_us, error),
            };
            if !matches!(outcome, Outcome::Lost(_)) {
                break;
            }
        }
        self.record(at_us, Subject::Prompt(request), outcome, broken_tries)
    }

    fn answered_outcome(
        &self,
        at_us: u64,
        completion: &Completion,
        answer: &CompletionAnswer,
    ) -> Outcome {
        let first_token_at = answer.first_token_at.unwrap_or_else(Instant::now);
        let first_token_us = micros(first_token_at - self.start).saturating_sub(at_us);
        Outcome::Answered {
            first_token_us,
            gaps_us: answer.gaps.iter().copied().map(micros).collect(),
            cached_tokens: answer.cached_tokens.get(),
            is_right: completion.is_answer(answer),
        }
    }

    fn failed_outcome(&self, at_us: u64, error: CallError) -> Outcome {
        match error {
            CallError::Refused {
                code,
                meaning,
                retry_after_us,
                request_id,
            } => Outcome::Refused {
                code,
                meaning,
                retry_after_us,
                request_id,
                after_us: self.now_us().saturating_sub(at_us),
            },
            CallError::CutOff => Outcome::CutOff,
            error => Outcome::Lost(error.to_string()),
        }
    }

    async fn call_plain(
        &self,
        at_us: u64,
        kind: PlainKind,
        is_duplicated: bool,
        path: usize,
    ) -> Record {
        let key = match kind {
            PlainKind::Lookup => None,
            PlainKind::OwnKey => Some(self.plain.new_key()),
            PlainKind::Ticket => self
                .fetch_ticket()
                .await
                .or_else(|| Some(self.plain.new_key())),
        };
        let path = match kind {
            PlainKind::Lookup => self.sizes.lookup_path,
            _ => self.sizes.order_paths[path],
        };
        let first = self.call_once(at_us, key.as_deref(), path);
        let (outcome, broken_tries) = match is_duplicated {
            false => first.await,
            true => {
                let second = async {
                    tokio::time::sleep(DUPLICATE_DELAY).await;
                    self.call_once(at_us, key.as_deref(), path).await
                };
                let (one, (other, broken)) = tokio::join!(first, second);
                // The answer of either copy counts as the caller's; a wrong one takes precedence.
                match (&one.0, &other) {
                    (
                        _,
                        Outcome::Answered {
                            is_right: false, ..
                        },
                    ) => (other, one.1 + broken),
                    (Outcome::Answered { .. }, _) => (one.0, one.1 + broken),
                    _ => (other, one.1 + broken),
                }
            }
        };
        self.record(at_us, Subject::Plain, outcome, broken_tries)
    }

    async fn call_once(&self, at_us: u64, key: Option<&str>, path: &str) -> (Outcome, u64) {
        let (method, body) = match key {
            Some(key) => (Method::POST, Bytes::from(format!("order {key}"))),
            None => (Method::GET, Bytes::new()),
        };
        let mut broken_tries = 0;
        let mut outcome = Outcome::Lost("no entry VM is known".to_owned());
        for entry in self
            .entries
            .for_random_caller()
            .into_iter()
            .cycle()
            .take(MAX_ATTEMPTS)
        {
            let call = self
                .caller
                .plain(entry, method.clone(), path, key, body.clone());
            outcome = match call.await {
                Ok(answer) => Outcome::Answered {
                    first_token_us: self.now_us().saturating_sub(at_us),
                    gaps_us: Vec::new(),
                    cached_tokens: 0,
                    is_right: self.plain.is_right(&answer, path, &body),
                },
                Err(error) if should_try_next_entry(&error) => {
                    broken_tries += 1;
                    Outcome::Lost(error.to_string())
                }
                Err(error) => self.failed_outcome(at_us, error),
            };
            if !matches!(outcome, Outcome::Lost(_)) {
                break;
            }
        }
        if let Some(key) = key {
            self.plain.record_outcome(key, &outcome);
        }
        (outcome, broken_tries)
    }

    async fn fetch_ticket(&self) -> Option<String> {
        let entry = *self.entries.for_random_caller().first()?;
        let tickets = self.caller.tickets(entry, 1).await.ok()?;
        tickets.into_iter().next()
    }

    fn record(&self, at_us: u64, subject: Subject, outcome: Outcome, broken_tries: u64) -> Record {
        Record {
            at_us,
            workspace: self.workspace,
            subject,
            outcome,
            ended_us: self.now_us(),
            broken_tries,
        }
    }

    fn now_us(&self) -> u64 {
        micros(self.start.elapsed())
    }
}

/// Returns whether to try the next entry VM: the connection failed, or the daemon accepts no new
/// requests.
fn should_try_next_entry(error: &CallError) -> bool {
    match error {
        CallError::NotSent(_) | CallError::Broken(_) => true,
        CallError::Refused { code, .. } => matches!(code, Code::Draining | Code::NotReady),
        CallError::CutOff => false,
    }
}

fn micros(span: std::time::Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
