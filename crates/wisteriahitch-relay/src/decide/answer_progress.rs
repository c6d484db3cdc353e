//! How far endpoints get with answers.

use serde::{Deserialize, Serialize};
use wisteriahitch_types::{DurationUs, TimeUs};

/// Time by which an endpoint that crashes under a call may get further with one answer than with
/// another.
const CRASH_TIME_TOLERANCE_MS: u32 = 250;

/// How far an endpoint got with the answer to a call: nothing, the time for which it wrote events,
/// or the whole answer.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct AnswerProgress(u32);

impl AnswerProgress {
    /// Nothing of the answer was received.
    pub const NONE: Self = Self(0);
    /// The whole answer was received.
    pub const WHOLE: Self = Self(u32::MAX);

    /// Creates the progress of an answer whose first and last received events are this far apart.
    pub fn written_for(time_us: DurationUs) -> Self {
        let time_ms = u32::try_from(time_us.as_ms()).unwrap_or(u32::MAX);
        Self(time_ms.saturating_add(1).min(u32::MAX - 1))
    }

    /// Returns whether one call with an attribute, which got this far, shows that the attribute is
    /// not what crashes endpoints when calls have got as far as `crashed`.
    pub fn refutes(self, crashed: Self) -> bool {
        let limit = crashed.0.saturating_mul(2);
        self == Self::WHOLE || self.0 > limit.saturating_add(CRASH_TIME_TOLERANCE_MS)
    }
}

/// Writing time after which the progress of a stream is reported first. Each further report comes
/// after twice the time, since [`AnswerProgress::refutes`] compares by factors.
const FIRST_REPORT_US: DurationUs = DurationUs::from_ms(300);

/// Time for which one endpoint has been writing a stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct WritingTime {
    /// Times of the first and the last event.
    events: Option<(TimeUs, TimeUs)>,
    reported_us: DurationUs,
}

impl WritingTime {
    /// Records that an event was received. Returns the progress if it is to be reported.
    pub fn record_event(&mut self, now: TimeUs) -> Option<AnswerProgress> {
        let (first, _) = self.events.unwrap_or((now, now));
        self.events = Some((first, now));
        let written_us = now.since(first);
        let doubled = DurationUs::new(self.reported_us.get() * 2);
        if written_us < doubled.max(FIRST_REPORT_US) {
            return None;
        }
        self.reported_us = written_us;
        Some(AnswerProgress::written_for(written_us))
    }

    /// Returns how far the answer got.
    pub fn progress(&self) -> AnswerProgress {
        let written = self.events.map(|(first, last)| last.since(first));
        written.map_or(AnswerProgress::NONE, AnswerProgress::written_for)
    }
}
