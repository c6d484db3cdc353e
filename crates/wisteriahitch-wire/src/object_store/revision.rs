//! Positions in the history of an object store.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Number of the copy of its contents from which a store answers.
///
/// A store that is restored from an older copy loses what was written since and gives out the lost
/// revisions again. Each time, its epoch rises by one. A store that names no epoch is in epoch 0.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StoreEpoch(u32);

impl StoreEpoch {
    /// Greatest epoch of which revisions can be represented.
    pub const MAX: u64 = (1 << 24) - 1;

    /// Returns the epoch with this number, or `None` if it is greater than [`Self::MAX`].
    pub fn new(number: u64) -> Option<Self> {
        let number = u32::try_from(number).ok()?;
        (u64::from(number) <= Self::MAX).then_some(Self(number))
    }

    /// Returns its number.
    pub const fn get(self) -> u64 {
        self.0 as u64
    }
}

impl fmt::Display for StoreEpoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Revision of a store: a number that grows with each change of any object, within an epoch.
///
/// Revisions of different epochs name different histories. They are ordered by epoch first, so that
/// whatever a restored store says is newer than all that was known before, and one number represents
/// both: epoch 0 leaves the store's own number unchanged.
///
/// ```
/// use wisteriahitch_wire::object_store::{Revision, StoreEpoch};
///
/// let before = Revision::new(StoreEpoch::default(), 120).unwrap();
/// let restored = Revision::new(StoreEpoch::new(1).unwrap(), 80).unwrap();
/// assert!(restored > before);
/// assert_eq!(before.get(), 120);
/// assert_eq!(restored.number(), 80);
/// ```
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(u64);

impl Revision {
    /// Number of bits for the store's own number. At a thousand changes per second they last for 34
    /// years. Up to epoch 8191 a revision is also an exact number for readers of JSON that know only
    /// floating-point numbers.
    const NUMBER_BITS: u32 = 40;

    /// Greatest number that a store may give a revision.
    const MAX_NUMBER: u64 = (1 << Self::NUMBER_BITS) - 1;

    /// Returns the revision that a store gave this number in an epoch, or `None` if the number is too
    /// large.
    pub fn new(epoch: StoreEpoch, number: u64) -> Option<Self> {
        let is_valid = number <= Self::MAX_NUMBER;
        is_valid.then_some(Self(epoch.get() << Self::NUMBER_BITS | number))
    }

    /// Returns the last possible revision of an epoch.
    pub const fn last_of(epoch: StoreEpoch) -> Self {
        Self(epoch.get() << Self::NUMBER_BITS | Self::MAX_NUMBER)
    }

    /// Returns the revision that [`get`](Self::get) represents as `value`.
    pub const fn from_u64(value: u64) -> Self {
        Self(value)
    }

    /// Returns a number that represents the epoch and the store's number, in the order of revisions.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the number that the store gave it.
    pub const fn number(self) -> u64 {
        self.0 & Self::MAX_NUMBER
    }

    /// Returns its epoch.
    pub fn epoch(self) -> StoreEpoch {
        // Every number of 24 bits is a valid epoch.
        StoreEpoch::new(self.0 >> Self::NUMBER_BITS).unwrap_or_default()
    }

    /// Returns the revision before this one in its epoch; itself if it is the first.
    #[must_use]
    pub fn previous(self) -> Self {
        Self(self.0 - u64::from(self.number() > 0))
    }

    /// Returns whether an object with this revision may be an earlier state of the one with revision
    /// `known`, which a restored copy brings back: its epoch is later and its number isn't.
    pub fn may_restore(self, known: Self) -> bool {
        self.epoch() > known.epoch() && self.number() <= known.number()
    }
}

/// Formats the store's number, behind the epoch where there is one.
impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.epoch().get() {
            0 => write!(f, "{}", self.number()),
            epoch => write!(f, "{epoch}:{}", self.number()),
        }
    }
}
