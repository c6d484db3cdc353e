//! Bound on calls a second.

use std::fmt;
use std::str::FromStr;
use std::sync::{Mutex, PoisonError};

use tokio::time::Instant;
use wisteriahitch_types::DurationUs;

/// Gives a rate of calls, in calls a second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct CallRate(f64);

impl CallRate {
    /// Wraps a number of calls a second; a negative one counts as zero.
    pub const fn new(calls_per_s: f64) -> Self {
        Self(calls_per_s.max(0.0))
    }

    /// Returns the number of calls a second.
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl fmt::Display for CallRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} calls/s", self.0)
    }
}

/// Reports a text that isn't a rate of calls.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("expected a number of calls a second, such as 200 or 0.5")]
pub struct ParseCallRateError;

impl FromStr for CallRate {
    type Err = ParseCallRateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.trim_end_matches("calls/s").trim_end();
        match digits.parse::<f64>() {
            Ok(calls_per_s) if calls_per_s.is_finite() && calls_per_s >= 0.0 => {
                Ok(Self(calls_per_s))
            }
            _ => Err(ParseCallRateError),
        }
    }
}

/// Lets calls pass at a rate, with a bounded burst after a quiet time.
///
/// # Examples
///
/// ```
/// use wisteriahitch_types::DurationUs;
/// use wisteriahitch_wire::platform::{CallRate, TokenBucket};
///
/// let bucket = TokenBucket::new(CallRate::new(0.001), DurationUs::from_ms(1_000));
/// assert!(bucket.try_take().is_ok());
/// assert!(bucket.try_take().is_err());
/// ```
#[derive(Debug)]
pub struct TokenBucket {
    rate: CallRate,
    capacity: f64,
    level: Mutex<Level>,
}

#[derive(Debug)]
struct Level {
    tokens: f64,
    at: Instant,
}

impl TokenBucket {
    /// Builds a full bucket that saves up what `rate` gives in `burst_us`, at least one call.
    pub fn new(rate: CallRate, burst_us: DurationUs) -> Self {
        let capacity = (rate.get() * burst_us.as_secs_f64()).max(1.0);
        let level = Level {
            tokens: capacity,
            at: Instant::now(),
        };
        Self {
            rate,
            capacity,
            level: Mutex::new(level),
        }
    }

    /// Takes a call's token.
    ///
    /// # Errors
    ///
    /// Returns the wait until there is a token, when there is none now.
    pub fn try_take(&self) -> Result<(), DurationUs> {
        let mut level = self.level.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let gained = now.duration_since(level.at).as_secs_f64() * self.rate.get();
        level.tokens = (level.tokens + gained).min(self.capacity);
        level.at = now;
        if level.tokens < 1.0 {
            return Err(self.wait_for(1.0 - level.tokens));
        }
        level.tokens -= 1.0;
        Ok(())
    }

    fn wait_for(&self, missing_tokens: f64) -> DurationUs {
        if self.rate.get() > 0.0 {
            DurationUs::from_secs_f64(missing_tokens / self.rate.get())
        } else {
            DurationUs::MAX
        }
    }
}
