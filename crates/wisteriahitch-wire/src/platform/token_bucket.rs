//! Rate limit for calls.

use std::fmt;
use std::str::FromStr;
use std::sync::{Mutex, PoisonError};

use tokio::time::Instant;
use wisteriahitch_types::DurationUs;

/// Rate in calls per second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct CallRate(f64);

impl CallRate {
    /// Builds a rate from a number of calls per second; a negative number becomes zero.
    pub const fn new(calls_per_s: f64) -> Self {
        Self(calls_per_s.max(0.0))
    }

    /// Returns the number of calls per second.
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl fmt::Display for CallRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} calls/s", self.0)
    }
}

/// Error of parsing a [`CallRate`].
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

/// Token bucket: limits the rate of calls and allows a bounded burst after an idle time.
///
/// # Examples
///
/// ```
/// use wisteriahitch_types::DurationUs;
/// use wisteriahitch_wire::platform::{CallRate, TokenBucket};
///
/// let bucket = TokenBucket::new(CallRate::new(0.001), DurationUs::from_ms(1_000));
/// assert!(bucket.try_acquire().is_ok());
/// assert!(bucket.try_acquire().is_err());
/// ```
#[derive(Debug)]
pub struct TokenBucket {
    rate: CallRate,
    capacity: f64,
    level: Mutex<Level>,
}

/// Tokens in the bucket at the time of the last update.
#[derive(Debug)]
struct Level {
    tokens: f64,
    updated_at: Instant,
}

impl TokenBucket {
    /// Builds a full bucket. Its capacity is the number of calls that `rate` allows in `burst_us`,
    /// but at least one.
    pub fn new(rate: CallRate, burst_us: DurationUs) -> Self {
        let capacity = (rate.get() * burst_us.as_secs_f64()).max(1.0);
        let level = Level {
            tokens: capacity,
            updated_at: Instant::now(),
        };
        Self {
            rate,
            capacity,
            level: Mutex::new(level),
        }
    }

    /// Takes the token for one call.
    ///
    /// # Errors
    ///
    /// If no token is available, returns the time until there will be one.
    pub fn try_acquire(&self) -> Result<(), DurationUs> {
        let mut level = self.level.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let gained = now.duration_since(level.updated_at).as_secs_f64() * self.rate.get();
        level.tokens = (level.tokens + gained).min(self.capacity);
        level.updated_at = now;
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
