//! Availability zones whose endpoints are to get nothing more.
//!
//! An operator evacuates a zone before work on it. All that is sent to an endpoint asks here: first attempts,
//! retries, streams that go on, and calls that were placed but not sent yet. What runs there already goes on.
//! `docs/design/evacuations.md` gives the reasons.

use std::collections::BTreeSet;

use wisteriahitch_types::AvailabilityZone;

/// Says what has changed for one zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ZoneChange {
    /// Its endpoints get nothing more.
    Evacuated(AvailabilityZone),
    /// Its endpoints may be used again.
    Restored(AvailabilityZone),
}

/// The evacuated zones.
#[derive(Debug, Default)]
pub struct EvacuatedZones {
    zones: BTreeSet<AvailabilityZone>,
}

impl EvacuatedZones {
    /// Takes over all evacuated zones, and returns what has changed.
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
