//! Regions of availability zones, and the zones that a call may use.

use std::collections::{BTreeMap, BTreeSet};

use wisteriahitch_types::{AvailabilityZone, Region};

/// The region of each availability zone of the site.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RegionMap(BTreeMap<AvailabilityZone, Region>);

impl RegionMap {
    /// Creates a map from zones to regions.
    pub fn new(regions: BTreeMap<AvailabilityZone, Region>) -> Self {
        Self(regions)
    }

    /// Returns the region of a zone, or `None` if it isn't configured.
    pub fn region(&self, zone: &AvailabilityZone) -> Option<&Region> {
        self.0.get(zone)
    }
}

/// The zones in which a call may run and whose stores may hold parts of its prompt.
///
/// ```
/// use std::collections::BTreeMap;
/// use wisteriahitch_relay::{AllowedZones, RegionMap};
///
/// let zones = BTreeMap::from([
///     ("a".parse()?, "north".parse()?),
///     ("b".parse()?, "south".parse()?),
/// ]);
/// let allowed = AllowedZones::of(&["south".parse()?], &[], &RegionMap::new(zones));
/// assert!(allowed.contains(&"b".parse()?));
/// assert!(!allowed.contains(&"a".parse()?));
/// # Ok::<(), wisteriahitch_types::ParseIdError>(())
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AllowedZones(
    /// `None` allows every zone, also those whose region isn't known.
    Option<BTreeSet<AvailabilityZone>>,
);

impl AllowedZones {
    /// Returns the zones that both the route's and the workspace's permitted regions contain. An
    /// empty list permits all regions. If either list is non-empty, zones without a known region
    /// are excluded.
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

    /// Returns whether a zone is allowed.
    pub fn contains(&self, zone: &AvailabilityZone) -> bool {
        self.0.as_ref().is_none_or(|zones| zones.contains(zone))
    }
}
