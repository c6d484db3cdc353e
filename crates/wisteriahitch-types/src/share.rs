//! Fractions from 0 to 1.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseUnitError;

/// A fraction of a whole, from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Share(f64);

impl Share {
    /// The share 0.
    pub const ZERO: Self = Self(0.0);
    /// The share 1, the whole.
    pub const ONE: Self = Self(1.0);

    /// Returns the share as a plain number from 0 to 1.
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Share {
    type Error = ParseUnitError;

    fn try_from(number: f64) -> Result<Self, Self::Error> {
        if (0.0..=1.0).contains(&number) {
            return Ok(Self(number));
        }
        Err(ParseUnitError {
            expected: "a share from 0 to 1",
            example: "0.25",
        })
    }
}

impl From<Share> for f64 {
    fn from(share: Share) -> Self {
        share.0
    }
}

impl FromStr for Share {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number: f64 = text.parse().map_err(|_| ParseUnitError {
            expected: "a share from 0 to 1",
            example: "0.25",
        })?;
        Self::try_from(number)
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
