//! Request and token quota of one workspace.

use wisteriahitch_config::Workspace;
use wisteriahitch_types::{DurationUs, TimeUs, TokenCount};

use super::token_bucket::TokenBucket;

/// The quota, queue limit and weight of one workspace at this daemon.
#[derive(Clone, Debug)]
pub(crate) struct Quota {
    /// Weight of the workspace in the fair queue.
    pub(crate) weight: u32,
    /// Maximum number of waiting requests, over all services.
    pub(crate) max_queued: usize,
    /// Limits requests per second; `None` if unlimited.
    requests: Option<TokenBucket>,
    /// Limits prompt tokens per second; `None` if unlimited.
    prompt_tokens: Option<TokenBucket>,
}

impl Quota {
    /// Creates the quota with full buckets.
    ///
    /// `daemons` is the number of daemons that the configured rates are divided among.
    pub(crate) fn new(workspace: &Workspace, daemons: u32, now: TimeUs) -> Self {
        let mut quota = Self {
            weight: 1,
            max_queued: 0,
            requests: None,
            prompt_tokens: None,
        };
        quota.configure(workspace, daemons, now);
        quota
    }

    /// Applies changed limits; what has been consumed stays consumed.
    pub(crate) fn configure(&mut self, workspace: &Workspace, daemons: u32, now: TimeUs) {
        let daemon_share = 1.0 / f64::from(daemons.max(1));
        self.weight = workspace.weight;
        self.max_queued = workspace.max_queued as usize;
        let requests_per_s = workspace.requests_per_s.map(f64::from);
        let tokens_per_s = workspace.prompt_tokens_per_s.map(|rate| rate.as_f64());
        set_rate(
            &mut self.requests,
            requests_per_s.map(|rate| rate * daemon_share),
            now,
        );
        set_rate(
            &mut self.prompt_tokens,
            tokens_per_s.map(|rate| rate * daemon_share),
            now,
        );
    }

    /// Consumes the quota for a request and returns zero, or returns the time until it can pass.
    pub(crate) fn try_charge(&mut self, prompt_tokens: TokenCount, now: TimeUs) -> DurationUs {
        let wait_of = |bucket: &mut TokenBucket| bucket.time_until_available(now);
        let requests_wait = self.requests.as_mut().map_or(DurationUs::ZERO, wait_of);
        let tokens_wait = self
            .prompt_tokens
            .as_mut()
            .map_or(DurationUs::ZERO, wait_of);
        let wait = requests_wait.max(tokens_wait);
        if wait > DurationUs::ZERO {
            return wait;
        }
        if let Some(bucket) = &mut self.requests {
            bucket.consume(1.0);
        }
        if let Some(bucket) = &mut self.prompt_tokens {
            bucket.consume(prompt_tokens.as_f64());
        }
        DurationUs::ZERO
    }
}

fn set_rate(bucket: &mut Option<TokenBucket>, rate_per_s: Option<f64>, now: TimeUs) {
    match (bucket.as_mut(), rate_per_s) {
        (Some(bucket), Some(rate)) => bucket.set_rate(rate, now),
        (None, Some(rate)) => *bucket = Some(TokenBucket::new(rate, now)),
        (_, None) => *bucket = None,
    }
}
