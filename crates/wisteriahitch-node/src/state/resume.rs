//! Interrupted streams that their callers may resume.

use std::collections::HashMap;

use parking_lot::Mutex;
use wisteriahitch_types::{
    AttemptNumber, ByteCount, DurationUs, EndpointId, RequestId, TimeUs, WeightVersion, WorkspaceId,
};

use crate::dispatch::completion_call::{CompletionCall, Resumption};
use crate::shared::Shared;

/// How long an interrupted stream can be resumed.
const RESUME_TTL_US: DurationUs = DurationUs::from_ms(60_000);

/// Maximum number of interrupted streams stored for resumption.
const MAX_RESUMABLE_STREAMS: usize = 256;

/// Maximum total size of the stored streams. Limited by number alone, large prompts would take a
/// gigabyte.
const MAX_RESUMABLE_BYTES: ByteCount = ByteCount::new(64 << 20);

/// Approximate size of a stored stream without its prompt.
const ENTRY_OVERHEAD_BYTES: u64 = 1_024;

/// Step from the last attempt number of an interrupted stream to that of its resumption. The
/// numbers in between are left free.
const RESUME_ATTEMPT_STEP: u64 = 16;

/// Recently interrupted streams.
pub(crate) struct ResumeState {
    resumable: Mutex<ResumableStreams>,
}

/// Interrupted streams, limited in number, size and age.
#[derive(Default)]
struct ResumableStreams {
    streams: HashMap<RequestId, ResumableStream>,
    bytes: ByteCount,
}

impl ResumableStreams {
    fn add(&mut self, resumable: ResumableStream) {
        let request = resumable.call.request_id.clone();
        self.remove(&request);
        self.bytes += resumable.bytes();
        self.streams.insert(request, resumable);
        while self.streams.len() > MAX_RESUMABLE_STREAMS || self.bytes > MAX_RESUMABLE_BYTES {
            let Some(oldest) = self.oldest_stream_of_largest_workspace() else {
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

    fn remove_expired(&mut self, now: TimeUs) {
        let expired = self
            .streams
            .iter()
            .filter(|(_, resumable)| resumable.is_expired(now));
        let expired: Vec<RequestId> = expired.map(|(request, _)| request.clone()).collect();
        for request in expired {
            self.remove(&request);
        }
    }

    /// Returns the oldest stream of the workspace whose streams take the most space.
    ///
    /// Evicting the oldest of all instead would let one workspace that keeps interrupting its
    /// streams evict those of every other workspace.
    fn oldest_stream_of_largest_workspace(&self) -> Option<RequestId> {
        let mut bytes_by_workspace: HashMap<&WorkspaceId, ByteCount> = HashMap::new();
        for resumable in self.streams.values() {
            *bytes_by_workspace.entry(resumable.workspace()).or_default() += resumable.bytes();
        }
        let (largest, _) = bytes_by_workspace
            .into_iter()
            .max_by_key(|(_, bytes)| *bytes)?;
        let candidates = self.streams.iter();
        candidates
            .filter(|(_, resumable)| resumable.workspace() == largest)
            .min_by_key(|(_, resumable)| resumable.interrupted_at_us)
            .map(|(request, _)| request.clone())
    }
}

struct ResumableStream {
    call: CompletionCall,
    endpoint: EndpointId,
    weight_version: WeightVersion,
    last_attempt: AttemptNumber,
    next_position: u64,
    interrupted_at_us: TimeUs,
}

impl ResumableStream {
    fn workspace(&self) -> &WorkspaceId {
        &self.call.identity.workspace
    }

    fn is_expired(&self, now: TimeUs) -> bool {
        now.since(self.interrupted_at_us) > RESUME_TTL_US
    }

    fn bytes(&self) -> ByteCount {
        ByteCount::new(ENTRY_OVERHEAD_BYTES + self.call.prompt.len() as u64)
    }
}

impl ResumeState {
    /// Creates an empty state.
    pub(crate) fn new() -> Self {
        Self {
            resumable: Mutex::default(),
        }
    }
}

impl Shared {
    /// Stores what is needed to resume an interrupted stream.
    pub(crate) fn store_for_resumption(
        &self,
        call: &CompletionCall,
        endpoint: &EndpointId,
        weight_version: &WeightVersion,
        last_attempt: AttemptNumber,
        next_position: u64,
    ) {
        let resumable = ResumableStream {
            call: call.clone(),
            endpoint: endpoint.clone(),
            weight_version: weight_version.clone(),
            last_attempt,
            next_position,
            interrupted_at_us: self.clock.now(),
        };
        self.resume.resumable.lock().add(resumable);
    }

    /// Removes the streams whose time for resumption has passed.
    pub(crate) fn expire_resumable_streams(&self) {
        self.resume
            .resumable
            .lock()
            .remove_expired(self.clock.now());
    }

    /// Returns the call that continues an interrupted stream from `position`, or `None` if the
    /// stream is unknown, has expired or belongs to another workspace, or if `position` is beyond
    /// the next token or at the token limit.
    pub(crate) fn find_resumable_call(
        &self,
        request: &RequestId,
        workspace: &WorkspaceId,
        position: u64,
    ) -> Option<CompletionCall> {
        let now = self.clock.now();
        let mut resumable = self.resume.resumable.lock();
        let found = resumable.streams.get_mut(request)?;
        let is_foreign = found.workspace() != workspace;
        // An engine refuses a position after the last token, and the refusal would count as a
        // failure of the endpoint.
        let is_beyond = position > found.next_position || position >= found.call.max_tokens.get();
        if found.is_expired(now) || is_foreign || is_beyond {
            return None;
        }
        // Each resumption gets higher attempt numbers, so that tokens of an earlier one aren't
        // taken for its own.
        found.last_attempt = AttemptNumber::new(found.last_attempt.get() + RESUME_ATTEMPT_STEP);
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
