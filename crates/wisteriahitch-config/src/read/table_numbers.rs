//! Numbers and spans of one TOML table.

use std::ops::RangeInclusive;

use wisteriahitch_types::{Code, DurationUs};

use super::TableReader;
use super::value::whole_number;

const MS_PER_S: u64 = 1_000;

impl TableReader<'_, '_> {
    /// Reads a whole number that may be missing.
    pub(crate) fn number(&self, key: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let value = self.get(key)?;
        let found = match whole_number(value.get_ref()) {
            Ok(found) => found,
            Err(message) => {
                self.fault(Code::ConfigBadValue, key, message);
                return None;
            }
        };
        match u64::try_from(found) {
            Ok(number) if range.contains(&number) => Some(number),
            _ => {
                let (low, high) = (range.start(), range.end());
                let message = format!("must be from {low} to {high}, found {found}");
                self.fault(Code::ConfigBadValue, key, message);
                None
            }
        }
    }

    /// Reads a whole number that must be there.
    pub(crate) fn required_number(
        &self,
        key: &'static str,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        self.expect(key);
        self.number(key, range)
    }

    /// Reads a small whole number that may be missing.
    pub(crate) fn small(&self, key: &'static str, range: RangeInclusive<u32>) -> Option<u32> {
        let range = u64::from(*range.start())..=u64::from(*range.end());
        self.number(key, range)
            .and_then(|number| u32::try_from(number).ok())
    }

    /// Reads a span that is given in milliseconds or in seconds, under a key with that unit.
    pub(crate) fn duration(
        &self,
        keys: DurationKeys,
        range_ms: RangeInclusive<u64>,
    ) -> Option<DurationUs> {
        let (low, high) = (*range_ms.start(), *range_ms.end());
        if self.has(keys.ms) && self.has(keys.s) {
            let message = format!("`{}` and `{}` are both given", keys.ms, keys.s);
            self.fault(Code::ConfigContradiction, keys.s, message);
        }
        let in_ms = self.number(keys.ms, range_ms);
        let range_s = low.div_ceil(MS_PER_S)..=high / MS_PER_S;
        let in_s = self.number(keys.s, range_s).map(|s| s * MS_PER_S);
        in_ms.or(in_s).map(DurationUs::from_ms)
    }
}

/// Names the two keys that one span may be given under.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DurationKeys {
    /// Key with the unit milliseconds.
    pub(crate) ms: &'static str,
    /// Key with the unit seconds.
    pub(crate) s: &'static str,
}

/// Builds [`DurationKeys`] from the name without its unit.
macro_rules! duration_keys {
    ($name:literal) => {
        $crate::read::DurationKeys {
            ms: concat!($name, "_ms"),
            s: concat!($name, "_s"),
        }
    };
}

pub(crate) use duration_keys;
