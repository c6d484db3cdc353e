//! Availability zones whose endpoints get no more calls.
//!
//! An operator evacuates a zone before work on it. Everything that is sent to an endpoint is
//! checked here: first attempts, retries, resumed streams, and calls that were placed but not sent
//! yet. Calls that already run in the zone continue. `docs/design/evacuations.md` gives the
//! reasons.

use std::collections::BTreeSet;

use wisteriahitch_types::AvailabilityZone;

/// A change of one zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ZoneChange {
    /// The zone's endpoints get no more calls.
    Evacuated(AvailabilityZone),
    /// The zone's endpoints may be used again.
    Restored(AvailabilityZone),
}

/// The set of evacuated zones.
#[derive(Debug, Default)]
pub struct EvacuatedZones {
    zones: BTreeSet<AvailabilityZone>,
}

impl EvacuatedZones {
    /// Replaces the set of evacuated zones, and returns what has changed.
    pub fn replace(&mut self, zones: BTreeSet<AvailabilityZone>) -> Vec<ZoneChange> {
        let evacuated = zones.difference(&self.zones).cloned();
        let restored = self.zones.difference(&zones).cloned();
        let changes = evacuated
            .map(ZoneChange::Evacuated)
            .chain(restored.map(ZoneChange::Restored))
            .collect();
        self.zones = zones;
        changes
    }

    /// Returns whether a zone is evacuated.
    pub fn contains(&self, zone: &AvailabilityZone) -> bool {
        self.zones.contains(zone)
    }

    /// Lists the zones in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &AvailabilityZone> {
        self.zones.iter()
    }
}
