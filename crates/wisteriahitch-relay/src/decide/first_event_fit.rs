//! Estimates from recent answers how the time of a first event depends on the work before it.
//!
//! Load pattern: engines of one deployment read 50 tokens a millisecond, those of another 160, and
//! none states it. A few answers mislead each: a prompt that the engine had cached without this
//! daemon knowing it, a request that was preempted, a pause of the engine. So the fit minimizes
//! absolute errors relative to the time itself, in which each answer counts at most once.

use std::collections::VecDeque;

/// Number of recent answers that the fit uses: some seconds of a busy daemon.
const MAX_SAMPLES: usize = 64;
/// Number of answers after which the fit isn't repeated with each further one.
const FREQUENT_FITS: u32 = 16;
/// Number of answers between two fits after that.
const FIT_INTERVAL: u32 = 4;
/// Iterations of one fit. It starts from the last one, so few are needed.
const ITERATIONS: usize = 12;
/// Relative error below which an answer counts as exact, since times vary by as much.
const MIN_RELATIVE_ERROR: f64 = 0.05;
/// Range of each figure relative to the one assumed before.
const FIGURE_RANGE: (f64, f64) = (0.05, 20.0);
/// Price of a running request, in multiples of the one assumed before: it is small beside the rest,
/// and answers say little about it.
const MAX_RUNNING_FACTOR: f64 = 8.0;

/// How the time of a first event depends on the work before it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstEventRates {
    /// Time that any first event takes, in milliseconds.
    pub fixed_ms: f64,
    /// Time for each prompt token that is read before, in milliseconds.
    pub ms_per_token: f64,
    /// Time for each running request, in milliseconds.
    pub running_ms: f64,
}

/// Work before the first event of a call, as known when the call was placed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FirstEventWork {
    /// Prompt tokens to be read, of the call itself and of those before it.
    pub unread_tokens: f64,
    /// Running requests.
    pub running: f64,
}

impl FirstEventRates {
    /// Returns the expected time of a first event, in milliseconds.
    pub fn expected_ms(&self, work: FirstEventWork) -> f64 {
        self.fixed_ms + self.ms_per_token * work.unread_tokens + self.running_ms * work.running
    }

    fn figures(self) -> [f64; 3] {
        [self.fixed_ms, self.ms_per_token, self.running_ms]
    }
}

/// Recent answers, and the rates that explain them best.
#[derive(Clone, Debug, Default)]
pub struct FirstEventFit {
    samples: VecDeque<(FirstEventWork, f64)>,
    recorded: u32,
    /// Rates relative to the ones assumed; `None` before the first answer.
    rates: Option<FirstEventRates>,
}

impl FirstEventFit {
    /// Records the time of a first event in milliseconds. `assumed` are the rates without any answer,
    /// and `assumed_weight` how many answers they count as.
    pub fn record(
        &mut self,
        work: FirstEventWork,
        elapsed_ms: f64,
        assumed: FirstEventRates,
        assumed_weight: f64,
    ) {
        let figures = [work.unread_tokens, work.running, elapsed_ms];
        let is_valid = figures
            .iter()
            .all(|figure| figure.is_finite() && *figure >= 0.0);
        if !is_valid || elapsed_ms <= 0.0 {
            return;
        }
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((work, elapsed_ms));
        self.recorded = self.recorded.saturating_add(1);
        if self.recorded <= FREQUENT_FITS || self.recorded.is_multiple_of(FIT_INTERVAL) {
            self.fit(assumed, assumed_weight);
        }
    }

    /// Returns the rates that explain the recent answers best; `None` if there are none.
    pub fn rates(&self) -> Option<FirstEventRates> {
        self.rates
    }

    /// Returns the number of answers that the rates follow from.
    pub fn sample_count(&self) -> usize {
        self.samples.len()
    }

    /// Minimizes the sum of relative errors by iteratively reweighted least squares, one figure at
    /// a time, which keeps each within its range.
    fn fit(&mut self, assumed: FirstEventRates, assumed_weight: f64) {
        let mut rates = self.rates.unwrap_or(assumed);
        for _ in 0..ITERATIONS {
            let weighted = self.weighted_samples(rates);
            let mut figures = rates.figures();
            for (index, assumed) in assumed.figures().into_iter().enumerate() {
                let max = match index {
                    2 => MAX_RUNNING_FACTOR,
                    _ => FIGURE_RANGE.1,
                };
                // The assumed figure counts like answers that consist of it alone.
                let prior = assumed_weight / (assumed * assumed).max(f64::MIN_POSITIVE);
                let (mut numerator, mut denominator) = (prior * assumed, prior);
                for (features, elapsed_ms, weight) in &weighted {
                    let all: f64 = features.iter().zip(figures).map(|(f, x)| f * x).sum();
                    let rest_ms = elapsed_ms - (all - features[index] * figures[index]);
                    numerator += weight * features[index] * rest_ms;
                    denominator += weight * features[index] * features[index];
                }
                let figure = numerator / denominator;
                figures[index] = figure.clamp(assumed * FIGURE_RANGE.0, assumed * max);
            }
            rates = FirstEventRates {
                fixed_ms: figures[0],
                ms_per_token: figures[1],
                running_ms: figures[2],
            };
        }
        self.rates = Some(rates);
    }

    /// Returns the features and the time of each answer, and its weight at the present rates.
    ///
    /// Errors are relative to the longer of the expected and the actual time. Otherwise a single
    /// very long prompt that was cached, or a single very late answer, would outweigh all others.
    fn weighted_samples(&self, rates: FirstEventRates) -> Vec<([f64; 3], f64, f64)> {
        let weighted = self.samples.iter().map(|(work, elapsed_ms)| {
            let expected_ms = rates.expected_ms(*work);
            let scale_ms = expected_ms.max(*elapsed_ms);
            let error = (elapsed_ms - expected_ms).abs() / scale_ms;
            let weight = 1.0 / (scale_ms * scale_ms * error.max(MIN_RELATIVE_ERROR));
            let features = [1.0, work.unread_tokens, work.running];
            (features, *elapsed_ms, weight)
        });
        weighted.collect()
    }
}
