//! What is known of the calls with an attribute that did not crash their endpoints.

use std::num::NonZeroUsize;

use lru::LruCache;
use wisteriahitch_types::{DurationUs, TimeUs};

use super::answer_progress::AnswerProgress;
use crate::site::{CallAttribute, CallAttributes};

/// Maximum number of attributes: half a minute of a busy daemon.
const MAX_HISTORIES: NonZeroUsize = match NonZeroUsize::new(8_192) {
    Some(max) => max,
    None => NonZeroUsize::MIN,
};

/// Time for which an answer clears a request. A popular request runs at all endpoints at once, and
/// a power loss of a third of them would otherwise count as three crashes against it.
const REQUEST_CLEARED_US: DurationUs = DurationUs::from_ms(60_000);

/// Time for which an answer clears a prompt part. A part that is in use on several endpoints at once
/// is answered more often; one that begins to crash endpoints, for example with a new software
/// version, must not be cleared for long.
const PART_CLEARED_US: DurationUs = DurationUs::from_ms(5_000);

/// Calls with one attribute.
#[derive(Clone, Copy, Debug, Default)]
struct CallHistory {
    /// Number of attempts that this daemon has sent.
    sent_attempts: u32,
    /// Position of the attribute in the call.
    position: usize,
    /// The furthest progress, and when it was last confirmed.
    progress: AnswerProgress,
    progressed_at_us: TimeUs,
}

/// How specific an attribute is. Of two attributes, the one that fewer calls have is more specific,
/// then the one that comes later in a prompt. Less is more specific.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Specificity {
    sent_attempts: u32,
    position: std::cmp::Reverse<usize>,
}

/// The calls with each attribute, the least recently used attributes being dropped first.
#[derive(Debug)]
pub(super) struct CallHistories {
    histories: LruCache<CallAttribute, CallHistory>,
}

impl Default for CallHistories {
    fn default() -> Self {
        Self {
            histories: LruCache::new(MAX_HISTORIES),
        }
    }
}

impl CallHistories {
    /// Counts an attempt at a call for its prompt parts. Each request has few attempts of its own.
    pub(super) fn record_sent(&mut self, attributes: &CallAttributes) {
        for (position, attribute) in attributes.iter().enumerate() {
            if matches!(attribute, CallAttribute::PromptPart(_)) {
                let history = self.entry(attribute);
                history.sent_attempts = history.sent_attempts.saturating_add(1);
                history.position = position;
            }
        }
    }

    /// Records how far an answer to a call with `attribute` got.
    pub(super) fn record_progress(
        &mut self,
        attribute: CallAttribute,
        progress: AnswerProgress,
        now: TimeUs,
    ) {
        let history = self.entry(attribute);
        let is_expired = now.since(history.progressed_at_us) > cleared_time(attribute);
        if is_expired || progress >= history.progress {
            history.progress = progress;
            history.progressed_at_us = now;
        }
    }

    /// Returns the furthest recent progress of calls with `attribute`.
    pub(super) fn progress(&self, attribute: CallAttribute, now: TimeUs) -> AnswerProgress {
        let history = self.histories.peek(&attribute);
        let recent = history
            .filter(|history| now.since(history.progressed_at_us) <= cleared_time(attribute));
        recent.map_or(AnswerProgress::NONE, |history| history.progress)
    }

    /// Returns how specific `attribute` is among the calls of this daemon.
    pub(super) fn specificity(&self, attribute: CallAttribute) -> Specificity {
        let history = self.histories.peek(&attribute).copied();
        let history = history.unwrap_or_default();
        Specificity {
            sent_attempts: history.sent_attempts,
            position: std::cmp::Reverse(history.position),
        }
    }

    fn entry(&mut self, attribute: CallAttribute) -> &mut CallHistory {
        self.histories
            .get_or_insert_mut(attribute, CallHistory::default)
    }
}

/// Returns for how long progress with an attribute counts.
const fn cleared_time(attribute: CallAttribute) -> DurationUs {
    match attribute {
        CallAttribute::Request(_) => REQUEST_CLEARED_US,
        CallAttribute::PromptPart(_) => PART_CLEARED_US,
    }
}
