//! How good the lengths of answers are that callers hint.
//!
//! Load pattern: answers may have some thousand tokens and mostly have some hundred. A daemon that
//! reckons with the maximum takes the memory of engines for full, and refuses calls, while most of
//! it is free. Hints are right at the median and often far off.

/// Weight of the newest answer in the mean.
const NEWEST_ANSWER_WEIGHT: f64 = 0.05;
/// Range of the ratio of one answer's length to its hint.
const RATIO_RANGE: (f64, f64) = (0.0, 8.0);
/// Number of answers after which hints count for half.
const HALF_TRUST: f64 = 8.0;
/// Maximum of the count of answers.
const MAX_ANSWERS: u32 = 1_000;

/// Mean ratio of the length of answers to the hinted ones.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HintAccuracy {
    mean_ratio: f64,
    answers: u32,
}

impl HintAccuracy {
    /// No answer is known.
    pub(super) const UNKNOWN: HintAccuracy = HintAccuracy {
        mean_ratio: 0.0,
        answers: 0,
    };

    /// Records the length of a complete answer, and the hinted one.
    pub fn record(&mut self, actual_tokens: u64, hinted_tokens: u64) {
        if hinted_tokens == 0 {
            return;
        }
        let ratio = actual_tokens as f64 / hinted_tokens as f64;
        let ratio = ratio.clamp(RATIO_RANGE.0, RATIO_RANGE.1);
        self.answers = (self.answers + 1).min(MAX_ANSWERS);
        // The first answers count alike, so that the very first doesn't stay in the mean for long.
        let weight = NEWEST_ANSWER_WEIGHT.max(1.0 / f64::from(self.answers));
        self.mean_ratio += (ratio - self.mean_ratio) * weight;
    }

    /// Returns the expected length of an answer with a hint, which is at most `max_tokens`. The mean
    /// is used, because it is the sum over many answers that has to fit into the memory.
    pub fn expected_tokens(&self, hinted_tokens: u64, max_tokens: u64) -> u64 {
        let answers = f64::from(self.answers);
        let trust = answers / (answers + HALF_TRUST);
        let max_tokens = max_tokens as f64;
        let hinted = (hinted_tokens as f64 * self.mean_ratio).min(max_tokens);
        (hinted * trust + max_tokens * (1.0 - trust)).ceil() as u64
    }
}
