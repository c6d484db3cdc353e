//! In which regions calls may run.

use std::collections::{BTreeMap, BTreeSet};

use wisteriahitch_types::{AvailabilityZone, Region};

/// The region that each availability zone of the site is in.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RegionMap(BTreeMap<AvailabilityZone, Region>);

impl RegionMap {
    /// Takes over the regions of the zones.
    pub fn new(regions: BTreeMap<AvailabilityZone, Region>) -> Self {
        Self(regions)
    }

    /// Returns the region of a zone, if it is known.
    pub fn region(&self, zone: &AvailabilityZone) -> Option<&Region> {
        self.0.get(zone)
    }
}

/// The zones in which a call may run, and to whose stores parts of its prompt may be saved.
///
/// ```
/// use std::collections::BTreeMap;
/// use wisteriahitch_relay::{AllowedZones, RegionMap};
///
/// let zones = BTreeMap::from([("a".parse()?, "north".parse()?), ("b".parse()?, "south".parse()?)]);
/// let allowed = AllowedZones::of(&["south".parse()?], &[], &RegionMap::new(zones));
/// assert!(allowed.contains(&"b".parse()?));
/// assert!(!allowed.contains(&"a".parse()?));
/// # Ok::<(), wisteriahitch_types::ParseIdError>(())
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AllowedZones(Option<BTreeSet<AvailabilityZone>>);

impl AllowedZones {
    /// Derives them from the regions that a call's route and workspace allow. One that names none allows all; where
    /// both name some, both bind. A zone whose region isn't known is in none of them.
    pub fn of(route: &[Region], workspace: &[Region], map: &RegionMap) -> Self {
        if route.is_empty() && workspace.is_empty() {
            return Self(None);
        }
        let allows =
            |regions: &[Region], region: &Region| regions.is_empty() || regions.contains(region);
        let zones = map
            .0
            .iter()
            .filter(|(_, region)| allows(route, region) && allows(workspace, region));
        Self(Some(zones.map(|(zone, _)| zone.clone()).collect()))
    }

    /// Returns whether a zone is one of them.
    pub fn contains(&self, zone: &AvailabilityZone) -> bool {
        self.0.as_ref().is_none_or(|zones| zones.contains(zone))
    }
}
