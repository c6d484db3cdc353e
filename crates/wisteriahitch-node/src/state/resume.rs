//! Streams that a caller may go on with after its connection broke.

use std::collections::HashMap;

use parking_lot::Mutex;
use wisteriahitch_types::{
    AttemptNumber, ByteCount, DurationUs, EndpointId, RequestId, TimeUs, WeightVersion, WorkspaceId,
};

use crate::dispatch::completion_call::{CompletionCall, Resumption};
use crate::shared::Shared;

/// How long a broken stream may be resumed.
const KEPT_US: DurationUs = DurationUs::from_ms(60_000);

/// Most streams that are kept for a resumption.
const MAX_KEPT: usize = 256;

/// Most bytes that their prompts may take; by number alone, large prompts would take a gigabyte.
const MAX_KEPT_BYTES: ByteCount = ByteCount::new(64 << 20);

/// Room that a kept stream takes beside its prompt, roughly.
const ENTRY_BYTES: u64 = 1_024;

/// Attempts left free between a broken stream and its resumption.
const ATTEMPT_GAP: u64 = 16;

/// Holds the streams that broke lately.
pub(crate) struct ResumeState {
    kept: Mutex<KeptStreams>,
}

/// Keeps broken streams within bounds of number, size and time.
#[derive(Default)]
struct KeptStreams {
    streams: HashMap<RequestId, Kept>,
    bytes: ByteCount,
}

impl KeptStreams {
    fn put(&mut self, kept: Kept) {
        let request = kept.call.request_id.clone();
        self.remove(&request);
        self.bytes += kept.bytes();
        self.streams.insert(request, kept);
        while self.streams.len() > MAX_KEPT || self.bytes > MAX_KEPT_BYTES {
            let Some(oldest) = self.oldest_of_largest() else {
                return;
            };
            self.remove(&oldest);
        }
    }

    fn remove(&mut self, request: &RequestId) {
        if let Some(removed) = self.streams.remove(request) {
            self.bytes = self.bytes - removed.bytes();
        }
    }

    fn forget_late(&mut self, now: TimeUs) {
        let late = self.streams.iter().filter(|(_, kept)| kept.is_late(now));
        let late: Vec<RequestId> = late.map(|(request, _)| request.clone()).collect();
        for request in late {
            self.remove(&request);
        }
    }

    /// Returns the oldest stream of the workspace that takes most room.
    ///
    /// Were the oldest of all to go, one workspace that breaks its streams again and again would
    /// take the rest of everybody's answers.
    fn oldest_of_largest(&self) -> Option<RequestId> {
        let mut room: HashMap<&WorkspaceId, ByteCount> = HashMap::new();
        for kept in self.streams.values() {
            *room.entry(kept.workspace()).or_default() += kept.bytes();
        }
        let (largest, _) = room.into_iter().max_by_key(|(_, bytes)| *bytes)?;
        let of_largest = self.streams.iter();
        of_largest
            .filter(|(_, kept)| kept.workspace() == largest)
            .min_by_key(|(_, kept)| kept.broke_at_us)
            .map(|(request, _)| request.clone())
    }
}

struct Kept {
    call: CompletionCall,
    endpoint: EndpointId,
    weight_version: WeightVersion,
    last_attempt: AttemptNumber,
    next_position: u64,
    broke_at_us: TimeUs,
}

impl Kept {
    fn workspace(&self) -> &WorkspaceId {
        &self.call.identity.workspace
    }

    fn is_late(&self, now: TimeUs) -> bool {
        now.since(self.broke_at_us) > KEPT_US
    }

    fn bytes(&self) -> ByteCount {
        ByteCount::new(ENTRY_BYTES + self.call.prompt.len() as u64)
    }
}

impl ResumeState {
    /// Builds an empty state.
    pub(crate) fn new() -> Self {
        Self {
            kept: Mutex::default(),
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
        self.resume.kept.lock().put(kept);
    }

    /// Forgets streams whose callers didn't come back in time.
    pub(crate) fn forget_late_streams(&self) {
        self.resume.kept.lock().forget_late(self.clock.now());
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
        let found = kept.streams.get_mut(request)?;
        let is_foreign = found.workspace() != workspace;
        // An engine refuses a position after the last token, which would count as its failure.
        let is_beyond = position > found.next_position || position >= found.call.max_tokens.get();
        if found.is_late(now) || is_foreign || is_beyond {
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
