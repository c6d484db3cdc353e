//! Newtypes for sizes, rates and times.

use std::fmt;
use std::iter::Sum;
use std::ops::{Add, AddAssign, Sub};
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Error of parsing a number with a unit.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("expected {expected}, such as {example}")]
pub struct ParseUnitError {
    pub(crate) expected: &'static str,
    pub(crate) example: &'static str,
}

macro_rules! unit_type {
    ($($(#[$doc:meta])* $name:ident, $suffix:literal, $expected:literal, $example:literal;)+) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// The value 0.
            pub const ZERO: Self = Self(0);
            /// The largest value.
            pub const MAX: Self = Self(u64::MAX);

            /// Builds a value from a plain number in this type's unit.
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// Returns the plain number in this type's unit.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Returns the number as a float, for estimates.
            pub const fn as_f64(self) -> f64 {
                self.0 as f64
            }

            /// Subtracts `other`; the result is at least zero.
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }

            /// Adds `other`; the result is at most [`Self::MAX`].
            pub const fn saturating_add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl FromStr for $name {
            type Err = ParseUnitError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let error = ParseUnitError { expected: $expected, example: $example };
                let digits = text.trim_end_matches($suffix).trim_end();
                digits.parse().map(Self).map_err(|_| error)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{} {}", self.0, $suffix)
            }
        }
    )+};
}

unit_type! {
    /// Number of tokens.
    TokenCount, "tokens", "a whole number of tokens", "2000 tokens";
    /// Number of bytes.
    ByteCount, "B", "a whole number of bytes", "4096 B";
    /// Data rate in bytes per second.
    ByteRate, "B/s", "a whole number of bytes a second", "1000000 B/s";
    /// Token rate in tokens per second.
    TokenRate, "tokens/s", "a whole number of tokens a second", "8000 tokens/s";
    /// Duration in microseconds.
    DurationUs, "us", "a whole number of microseconds", "1500 us";
    /// Time on a process's monotonic clock, in microseconds since the process started.
    ///
    /// Values of different processes are not comparable.
    TimeUs, "us", "a whole number of microseconds", "1500 us";
}

macro_rules! additive {
    ($($name:ident),+) => {$(
        impl Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                self.saturating_add(other)
            }
        }

        impl AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                *self = *self + other;
            }
        }

        impl Sub for $name {
            type Output = Self;

            fn sub(self, other: Self) -> Self {
                self.saturating_sub(other)
            }
        }

        impl Sum for $name {
            fn sum<I: Iterator<Item = Self>>(items: I) -> Self {
                items.fold(Self::ZERO, Add::add)
            }
        }
    )+};
}

additive!(TokenCount, ByteCount, DurationUs);

const US_PER_MS: u64 = 1_000;
const US_PER_S: f64 = 1_000_000.0;

impl DurationUs {
    /// Builds a duration from milliseconds; a value too large becomes the maximum.
    pub const fn from_ms(ms: u64) -> Self {
        Self::new(ms.saturating_mul(US_PER_MS))
    }

    /// Builds a duration from seconds. Negative values and NaN become zero.
    pub fn from_secs_f64(secs: f64) -> Self {
        Self::new((secs.max(0.0) * US_PER_S) as u64)
    }

    /// Returns the duration in whole milliseconds, rounded down.
    pub const fn as_ms(self) -> u64 {
        self.get() / US_PER_MS
    }

    /// Returns the duration in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.as_f64() / US_PER_S
    }
}

impl From<DurationUs> for Duration {
    fn from(duration: DurationUs) -> Self {
        Self::from_micros(duration.get())
    }
}

impl From<Duration> for DurationUs {
    fn from(duration: Duration) -> Self {
        Self::new(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
    }
}

impl TimeUs {
    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    pub const fn since(self, earlier: Self) -> DurationUs {
        DurationUs::new(self.get().saturating_sub(earlier.get()))
    }
}

impl Add<DurationUs> for TimeUs {
    type Output = Self;

    fn add(self, duration: DurationUs) -> Self {
        Self::new(self.get().saturating_add(duration.get()))
    }
}

impl ByteRate {
    /// Returns the time to transfer `bytes` at this rate; [`DurationUs::MAX`] if the rate is zero.
    pub fn time_for(self, bytes: ByteCount) -> DurationUs {
        duration_at_rate(bytes.get(), self.get())
    }
}

impl TokenRate {
    /// Returns the time to process `tokens` at this rate; [`DurationUs::MAX`] if the rate is zero.
    pub fn time_for(self, tokens: TokenCount) -> DurationUs {
        duration_at_rate(tokens.get(), self.get())
    }
}

fn duration_at_rate(amount: u64, rate_per_s: u64) -> DurationUs {
    if amount == 0 {
        return DurationUs::ZERO;
    }
    if rate_per_s == 0 {
        return DurationUs::MAX;
    }
    DurationUs::from_secs_f64(amount as f64 / rate_per_s as f64)
}
