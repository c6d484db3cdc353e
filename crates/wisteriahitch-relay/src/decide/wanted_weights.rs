//! Which weights of a model are wanted, and since when older ones are not.

use wisteriahitch_types::{DurationUs, TimeUs, WeightNumber};

use super::part_stores::FETCH_TIMEOUT_US;

/// Maximum number of recorded versions. Each version counts from the time at which it was named,
/// even if the next one is named before it is on all engines.
const MAX_VERSIONS: usize = 8;

/// The versions of one model's weights that were named, newest last.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WantedVersions {
    versions: Vec<(WeightNumber, TimeUs)>,
    limits: OldWeightsLimits,
}

/// How long weights are used after newer ones were named.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OldWeightsLimits {
    /// Time within which calls may be sent to engines that have them.
    pub dispatch_timeout_us: DurationUs,
    /// Time within which a call must have started there.
    pub start_timeout_us: DurationUs,
}

impl WantedVersions {
    /// Creates a record without versions.
    pub fn new(limits: OldWeightsLimits) -> Self {
        Self {
            versions: Vec::new(),
            limits,
        }
    }

    /// Records a named version. Returns whether it is newer than all others.
    pub fn record_version(&mut self, version: WeightNumber, at: TimeUs) -> bool {
        if self.newest().is_some_and(|newest| version <= newest) {
            return false;
        }
        self.versions.push((version, at));
        if self.versions.len() > MAX_VERSIONS {
            self.versions.remove(0);
        }
        true
    }

    /// Returns the wanted version.
    pub fn newest(&self) -> Option<WeightNumber> {
        self.versions.last().map(|(version, _)| *version)
    }

    /// Returns since when `version` is no longer the wanted one; `None` while it is.
    ///
    /// That is the time at which the first newer version was named, not the newest: counted from
    /// the newest, a quick series of versions would keep the oldest one in use for ever.
    pub fn replaced_at(&self, version: WeightNumber) -> Option<TimeUs> {
        let newer = self
            .versions
            .iter()
            .find(|(recorded, _)| *recorded > version);
        newer.map(|(_, at)| *at)
    }

    /// Returns until when calls may be sent to an engine with `version`; `None` while that version
    /// is wanted.
    pub fn dispatch_deadline(&self, version: WeightNumber) -> Option<TimeUs> {
        self.replaced_at(version)
            .map(|at| at + self.limits.dispatch_timeout_us)
    }

    /// Returns whether a call may still be sent to an engine with `version`.
    pub fn may_dispatch(&self, version: WeightNumber, now: TimeUs) -> bool {
        self.dispatch_deadline(version)
            .is_none_or(|deadline| now < deadline)
    }

    /// Returns when a call at an engine with `version` must have started; `None` while that version
    /// is wanted.
    pub fn start_deadline(&self, version: WeightNumber) -> Option<TimeUs> {
        self.replaced_at(version)
            .map(|at| at + self.limits.start_timeout_us)
    }

    /// Returns whether a call that was sent to an engine with `version` may still fetch parts.
    pub fn may_fetch_parts(&self, version: WeightNumber, now: TimeUs) -> bool {
        let age_us = self.replaced_at(version).map(|at| now.since(at));
        age_us.is_none_or(|age_us| age_us < self.limits.dispatch_timeout_us + FETCH_TIMEOUT_US)
    }
}
