//! Which weights of a model are wanted, and since when older ones are not.

use wisteriahitch_types::{TimeUs, WeightNumber};

/// Versions that are remembered. A version counts from its own naming, also where the next one is
/// named before it is in place.
const REMEMBERED: usize = 8;

/// The versions of one model's weights that were named, the newest last.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WantedVersions(Vec<(WeightNumber, TimeUs)>);

impl WantedVersions {
    /// Notes a version, and returns whether it is newer than all others.
    pub fn named(&mut self, version: WeightNumber, at: TimeUs) -> bool {
        if self.newest().is_some_and(|newest| version <= newest) {
            return false;
        }
        self.0.push((version, at));
        if self.0.len() > REMEMBERED {
            self.0.remove(0);
        }
        true
    }

    /// Returns the version that is wanted.
    pub fn newest(&self) -> Option<WeightNumber> {
        self.0.last().map(|(version, _)| *version)
    }

    /// Returns since when `version` is no longer the wanted one; nothing while it is.
    ///
    /// That is the naming of the first newer version, not of the newest: counted from the newest,
    /// a quick series of versions would keep the oldest one in use for ever.
    pub fn replaced_at(&self, version: WeightNumber) -> Option<TimeUs> {
        let newer = self.0.iter().find(|(named, _)| *named > version);
        newer.map(|(_, at)| *at)
    }
}
