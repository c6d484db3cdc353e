//! Call rates.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseUnitError;

/// Calls per second; finite and not negative.
///
/// ```
/// use wisteriahitch_types::CallRate;
///
/// let rate: CallRate = "0.3".parse().unwrap();
/// assert_eq!(rate.per_s(), 0.3);
/// assert!("-1".parse::<CallRate>().is_err());
/// ```
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct CallRate(f64);

impl CallRate {
    /// Returns the number of calls per second.
    pub const fn per_s(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for CallRate {
    type Error = ParseUnitError;

    fn try_from(per_s: f64) -> Result<Self, Self::Error> {
        match per_s.is_finite() && per_s >= 0.0 {
            true => Ok(Self(per_s)),
            false => Err(ParseUnitError {
                expected: "a decimal number of calls a second",
                example: "2.5",
            }),
        }
    }
}

impl From<CallRate> for f64 {
    fn from(rate: CallRate) -> Self {
        rate.0
    }
}

impl FromStr for CallRate {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        // Text that is not a number becomes NaN, which `try_from` rejects.
        Self::try_from(text.parse().unwrap_or(f64::NAN))
    }
}

impl fmt::Display for CallRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} calls/s", self.0)
    }
}
