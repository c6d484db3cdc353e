//! Which weights of a model are wanted, and since when older ones are not.

use std::collections::BTreeMap;
use std::ops::Bound;

use wisteriahitch_types::{DurationUs, TimeUs, WeightNumber};

use super::part_stores::FETCH_TIMEOUT_US;
use super::timely_answers::MAX_UNNOTICED_DELAY_US;

/// Maximum number of recorded replacements. Each version counts from the time at which it was named,
/// even if the next one is named before it is on all engines.
const MAX_REPLACEMENTS: usize = 8;

/// Time by which a confirmation may be older than the daemon that relies on it knows, because a message
/// was delayed unnoticed.
const CONFIRMATION_MARGIN_US: DurationUs = MAX_UNNOTICED_DELAY_US;

/// The newest named version of one model's weights, and when older ones were replaced.
///
/// The time at which a version was named is rarely known exactly. What is known is that everything
/// newer than a version was named at some time or later, from different sources: this daemon's
/// watch, a listing after a gap, in which versions may have been skipped, or a peer. Each is true on
/// its own, so the latest time that applies to a version counts. A known time therefore only ever
/// moves later. The time that is assumed after a start is no bound, and a known one replaces it even
/// if it is earlier.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WantedVersions {
    newest: Option<WeightNumber>,
    /// Everything newer than the version was named at this time or later.
    named_after: BTreeMap<WeightNumber, TimeUs>,
    /// When the first known version was named at the earliest, which may be an assumption.
    first_named_at_us: Option<TimeUs>,
    /// When this process learned of each version, which was thus named at that time or earlier.
    learned_at: BTreeMap<WeightNumber, TimeUs>,
    limits: OldWeightsLimits,
}

/// How long weights are used after newer ones were named.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OldWeightsLimits {
    /// Time within which calls may be sent to engines that have them.
    pub dispatch_timeout_us: DurationUs,
    /// Time within which a call must have started there.
    pub start_timeout_us: DurationUs,
    /// Age of the known wanted weights up to which parts are fetched from stores. It is longer than
    /// `dispatch_timeout_us`.
    pub max_fetch_age_us: DurationUs,
}

/// How recently the known wanted weights were confirmed, which limits fetches from stores.
///
/// A daemon that is cut off doesn't learn that weights were replaced, and parts of replaced weights
/// are freed. So a daemon names a store only as long as its knowledge is recent enough, and the
/// daemon that frees waits as long ([`WantedVersions::may_fetch_parts`]).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WantedFreshness {
    /// Time as of which all wanted weights are known; `None` if they never were. It must be read
    /// before the versions.
    pub confirmed_as_of: Option<TimeUs>,
    /// Age up to which parts are fetched from stores.
    pub max_fetch_age_us: DurationUs,
}

impl WantedFreshness {
    /// Returns the time until which calls that fetch parts of `weights` from stores may be sent; `None`
    /// if none may. `wanted` is what is known of the model's versions.
    ///
    /// This is at most `max_fetch_age_us` after newer weights were named, even if this daemon doesn't
    /// know them yet: those were named after `confirmed_as_of`. Weights that it knows to be replaced are
    /// bounded by their dispatch deadline, which is earlier; they have none if it isn't known when they
    /// were replaced.
    pub fn fetch_until(
        &self,
        wanted: Option<&WantedVersions>,
        weights: WeightNumber,
    ) -> Option<TimeUs> {
        match wanted.filter(|wanted| wanted.is_replaced(weights)) {
            Some(wanted) => wanted.dispatch_deadline(weights),
            None => Some(self.confirmed_as_of? + self.max_fetch_age_us),
        }
    }
}

impl WantedVersions {
    /// Creates a record without versions.
    pub fn new(limits: OldWeightsLimits) -> Self {
        Self {
            newest: None,
            named_after: BTreeMap::new(),
            first_named_at_us: None,
            learned_at: BTreeMap::new(),
            limits,
        }
    }

    /// Records a named version. Everything newer than the previously known one was named at `at` or
    /// later. Returns whether the version is newer than all others.
    pub fn record_version(&mut self, version: WeightNumber, at: TimeUs) -> bool {
        if self.newest.is_some_and(|newest| version <= newest) {
            return false;
        }
        match self.newest.replace(version) {
            Some(previous) => self.record_named_after(previous, at),
            None => self.first_named_at_us = Some(at),
        }
        true
    }

    /// Records that everything newer than `version` was named at `at` or later.
    pub fn record_named_after(&mut self, version: WeightNumber, at: TimeUs) {
        let known_at = self.named_after.entry(version).or_insert(at);
        *known_at = at.max(*known_at);
        if self.named_after.len() > MAX_REPLACEMENTS {
            self.named_after.pop_first();
        }
    }

    /// Records when this process learned of a version that is newer than all others.
    pub fn record_learned(&mut self, version: WeightNumber, now: TimeUs) {
        self.learned_at.entry(version).or_insert(now);
        if self.learned_at.len() > MAX_REPLACEMENTS {
            self.learned_at.pop_first();
        }
    }

    /// Returns when this process learned that `version` had been replaced; `None` while it is wanted.
    ///
    /// This is the latest time at which the first newer version can have been named, whereas
    /// [`Self::replaced_at`] is the earliest. It is later still if that version is no longer recorded.
    pub fn learned_replaced_at(&self, version: WeightNumber) -> Option<TimeUs> {
        let newer = (Bound::Excluded(version), Bound::Unbounded);
        self.learned_at.range(newer).next().map(|(_, at)| *at)
    }

    /// Returns the versions of which it is known when newer ones were named at the earliest, with
    /// that time.
    pub fn named_after(&self) -> impl Iterator<Item = (WeightNumber, TimeUs)> {
        self.named_after.iter().map(|(version, at)| (*version, *at))
    }

    /// Returns the wanted version.
    pub fn newest(&self) -> Option<WeightNumber> {
        self.newest
    }

    /// Returns whether a newer version than this one is known.
    fn is_replaced(&self, version: WeightNumber) -> bool {
        self.newest.is_some_and(|newest| version < newest)
    }

    /// Returns since when `version` is no longer the wanted one; `None` while it is.
    ///
    /// That is the time at which the first newer version was named, not the newest: counted from
    /// the newest, a quick series of versions would keep the oldest one in use for ever.
    pub fn replaced_at(&self, version: WeightNumber) -> Option<TimeUs> {
        if version >= self.newest? {
            return None;
        }
        // Otherwise it was replaced by the first known version, or too long ago to be recorded.
        self.known_replaced_at(version).or(self.first_named_at_us)
    }

    /// Returns since when `version` is known to be no longer the wanted one; `None` while it is, or
    /// if that is only assumed.
    fn known_replaced_at(&self, version: WeightNumber) -> Option<TimeUs> {
        let applicable = self.named_after.range(..=version).map(|(_, at)| *at);
        applicable.max()
    }

    /// Returns from when on no daemon sends calls to an engine with `version`; `None` while that
    /// version is wanted, or if this daemon only assumes when it was replaced. What a daemon assumes
    /// after its start may be seconds earlier than what the others know.
    pub fn dispatch_deadline(&self, version: WeightNumber) -> Option<TimeUs> {
        self.known_replaced_at(version)
            .filter(|_| self.is_replaced(version))
            .map(|at| at + self.limits.dispatch_timeout_us)
    }

    /// Returns whether a call may still be sent to an engine with `version`.
    pub fn may_dispatch(&self, version: WeightNumber, now: TimeUs) -> bool {
        let replaced_at = self.replaced_at(version);
        replaced_at.is_none_or(|at| now < at + self.limits.dispatch_timeout_us)
    }

    /// Returns when a call at an engine with `version` must have started; `None` while that version
    /// is wanted.
    pub fn start_deadline(&self, version: WeightNumber) -> Option<TimeUs> {
        self.replaced_at(version)
            .map(|at| at + self.limits.start_timeout_us)
    }

    /// Returns whether a call that any daemon sent may still fetch parts of `version` from a store.
    ///
    /// Other daemons may learn later than this one that the version was replaced. They stop sending such
    /// calls `max_fetch_age_us` after the newer version was named, at the latest. It was named before this
    /// daemon learned of it, so the wait counts from then. [`Self::replaced_at`] is a lower bound of the
    /// time of the naming, and the wait would end too early if it counted from there.
    pub fn may_fetch_parts(&self, version: WeightNumber, now: TimeUs) -> bool {
        let wait_us = self.limits.max_fetch_age_us + FETCH_TIMEOUT_US + CONFIRMATION_MARGIN_US;
        let learned_at = self.learned_replaced_at(version);
        learned_at.is_none_or(|at| now.since(at) < wait_us)
    }
}
