//! Streams that a caller may go on with after its connection broke.

use std::num::NonZeroUsize;

use lru::LruCache;
use parking_lot::Mutex;
use wisteriahitch_types::{
    AttemptNumber, DurationUs, EndpointId, RequestId, TimeUs, WeightVersion, WorkspaceId,
};

use crate::dispatch::completion_call::{CompletionCall, Resumption};
use crate::shared::Shared;

/// How long a broken stream may be resumed.
const KEPT_US: DurationUs = DurationUs::from_ms(60_000);

/// Most prompts that are kept for a resumption, which bounds their memory.
const MAX_KEPT: NonZeroUsize = NonZeroUsize::new(256).expect("the literal isn't zero");

/// Attempts left free between a broken stream and its resumption.
const ATTEMPT_GAP: u64 = 16;

/// Holds the streams that broke lately.
pub(crate) struct ResumeState {
    kept: Mutex<LruCache<RequestId, Kept>>,
}

struct Kept {
    call: CompletionCall,
    endpoint: EndpointId,
    weight_version: WeightVersion,
    last_attempt: AttemptNumber,
    next_position: u64,
    broke_at_us: TimeUs,
}

impl ResumeState {
    /// Builds an empty state.
    pub(crate) fn new() -> Self {
        Self {
            kept: Mutex::new(LruCache::new(MAX_KEPT)),
        }
    }
}

impl Shared {
    /// Keeps what a caller needs that comes back for the rest of its answer.
    pub(crate) fn keep_for_resumption(
        &self,
        call: &CompletionCall,
        endpoint: &EndpointId,
        weight_version: &WeightVersion,
        last_attempt: AttemptNumber,
        next_position: u64,
    ) {
        let kept = Kept {
            call: call.clone(),
            endpoint: endpoint.clone(),
            weight_version: weight_version.clone(),
            last_attempt,
            next_position,
            broke_at_us: self.clock.now(),
        };
        self.resume.kept.lock().put(call.request_id.clone(), kept);
    }

    /// Returns the call that goes on with a broken stream of this workspace.
    pub(crate) fn resumable(
        &self,
        request: &RequestId,
        workspace: &WorkspaceId,
        position: u64,
    ) -> Option<CompletionCall> {
        let now = self.clock.now();
        let mut kept = self.resume.kept.lock();
        let found = kept.get_mut(request)?;
        let is_late = now.since(found.broke_at_us) > KEPT_US;
        let is_foreign = found.call.identity.workspace != *workspace;
        // An engine refuses a position after the last token, which would count as its failure.
        let is_beyond = position > found.next_position || position >= found.call.max_tokens.get();
        if is_late || is_foreign || is_beyond {
            return None;
        }
        // Every resumption counts on, so that tokens of an earlier one can't be taken for its own.
        found.last_attempt = AttemptNumber::new(found.last_attempt.get() + ATTEMPT_GAP);
        let mut call = found.call.clone();
        call.arrived_us = now;
        call.resumption = Some(Resumption {
            endpoint: found.endpoint.clone(),
            weight_version: found.weight_version.clone(),
            position,
            attempt: found.last_attempt,
        });
        Some(call)
    }
}
