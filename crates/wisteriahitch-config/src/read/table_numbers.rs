//! Reading numbers and durations from a TOML table.

use std::ops::RangeInclusive;

use wisteriahitch_types::{Code, DurationUs};

use super::TableReader;
use super::value::whole_number;

const MS_PER_S: u64 = 1_000;

impl TableReader<'_, '_> {
    /// Reads an optional integer, and reports one outside the range.
    pub(crate) fn number(&self, key: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let value = self.get(key)?;
        let found = match whole_number(value.get_ref()) {
            Ok(found) => found,
            Err(message) => {
                self.add_problem(Code::ConfigBadValue, key, message);
                return None;
            }
        };
        match u64::try_from(found) {
            Ok(number) if range.contains(&number) => Some(number),
            _ => {
                let (low, high) = (range.start(), range.end());
                let message = format!("must be from {low} to {high}, found {found}");
                self.add_problem(Code::ConfigBadValue, key, message);
                None
            }
        }
    }

    /// Reads a required integer, and reports a missing one or one outside the range.
    pub(crate) fn required_number(
        &self,
        key: &'static str,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        self.require_key(key);
        self.number(key, range)
    }

    /// Reads an optional integer that fits into 32 bits, and reports one outside the range.
    pub(crate) fn number_u32(&self, key: &'static str, range: RangeInclusive<u32>) -> Option<u32> {
        let range = u64::from(*range.start())..=u64::from(*range.end());
        self.number(key, range)
            .and_then(|number| u32::try_from(number).ok())
    }

    /// Reads an optional duration, given in milliseconds or in seconds under the key with that
    /// unit. The range is in milliseconds for both.
    pub(crate) fn duration(
        &self,
        keys: DurationKeys,
        range_ms: RangeInclusive<u64>,
    ) -> Option<DurationUs> {
        let (low, high) = (*range_ms.start(), *range_ms.end());
        if self.has_key(keys.ms) && self.has_key(keys.s) {
            let message = format!("`{}` and `{}` are both given", keys.ms, keys.s);
            self.add_problem(Code::ConfigContradiction, keys.s, message);
        }
        let in_ms = self.number(keys.ms, range_ms);
        let range_s = low.div_ceil(MS_PER_S)..=high / MS_PER_S;
        let in_s = self.number(keys.s, range_s).map(|s| s * MS_PER_S);
        in_ms.or(in_s).map(DurationUs::from_ms)
    }
}

/// The two keys that a duration may be given under.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DurationKeys {
    /// Key of the duration in milliseconds.
    pub(crate) ms: &'static str,
    /// Key of the duration in seconds.
    pub(crate) s: &'static str,
}

/// Builds [`DurationKeys`] from the name of the duration without its unit.
macro_rules! duration_keys {
    ($name:literal) => {
        $crate::read::DurationKeys {
            ms: concat!($name, "_ms"),
            s: concat!($name, "_s"),
        }
    };
}

pub(crate) use duration_keys;
