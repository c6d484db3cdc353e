//! The software versions that the endpoints of each service have or recently had.

use std::collections::HashMap;

use wisteriahitch_types::{DurationUs, ServiceName, SoftwareVersion, TimeUs};

/// One software version of a service.
#[derive(Debug)]
struct VersionUse {
    version: SoftwareVersion,
    /// Number of endpoints in the table that have it, whatever their state.
    endpoints: usize,
    /// When the last of its endpoints was removed from the table.
    last_removed_at_us: TimeUs,
}

/// Software versions by service.
#[derive(Debug, Default)]
pub(super) struct SoftwareVersions {
    by_service: HashMap<ServiceName, Vec<VersionUse>>,
}

impl SoftwareVersions {
    /// Counts an endpoint that has joined the table or has changed its version.
    pub(super) fn add(&mut self, service: &ServiceName, version: &SoftwareVersion) {
        let versions = match self.by_service.get_mut(service) {
            Some(versions) => versions,
            None => self.by_service.entry(service.clone()).or_default(),
        };
        match versions.iter_mut().find(|known| known.version == *version) {
            Some(known) => known.endpoints += 1,
            None => versions.push(VersionUse {
                version: version.clone(),
                endpoints: 1,
                last_removed_at_us: TimeUs::ZERO,
            }),
        }
    }

    /// Counts an endpoint out that has left the table or has changed its version.
    pub(super) fn remove(&mut self, service: &ServiceName, version: &SoftwareVersion, now: TimeUs) {
        let versions = self.by_service.get_mut(service);
        let mut versions = versions.into_iter().flatten();
        if let Some(known) = versions.find(|known| known.version == *version) {
            known.endpoints = known.endpoints.saturating_sub(1);
            known.last_removed_at_us = now;
        }
    }

    /// Forgets versions that no endpoint has had for `retention_us`.
    pub(super) fn prune(&mut self, retention_us: DurationUs, now: TimeUs) {
        let is_recent = |known: &VersionUse| {
            known.endpoints > 0 || now.since(known.last_removed_at_us) < retention_us
        };
        self.by_service.retain(|_, versions| {
            versions.retain(is_recent);
            !versions.is_empty()
        });
    }

    /// Lists the versions of a service that endpoints have, or had at `since` or later.
    pub(super) fn in_use_since(
        &self,
        service: &ServiceName,
        since: TimeUs,
    ) -> impl Iterator<Item = &SoftwareVersion> {
        let versions = self.by_service.get(service);
        let is_in_use =
            move |known: &&VersionUse| known.endpoints > 0 || known.last_removed_at_us >= since;
        let in_use = versions.into_iter().flatten().filter(is_in_use);
        in_use.map(|known| &known.version)
    }
}
