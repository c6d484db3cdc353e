//! What a daemon holds of the configuration.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use wisteriahitch_config::{Section, SectionHash};
use wisteriahitch_types::{ConfigVersion, DurationUs, Incarnation, TimeUs};

use super::HeadObject;
use super::replication::Replication;

/// Holds the times and bounds of the configuration's way through the fleet.
#[derive(Clone, Debug, Serialize)]
pub struct ConfigSettings {
    /// Daemons of each availability zone that watch the head.
    pub watchers_per_zone: usize,
    /// Peers that a new version is handed to.
    pub push_fanout: usize,
    /// Other availability zones that must hold a version before it is put in force.
    pub wanted_zones: usize,
    /// Longest wait for that; then the version is put in force all the same.
    pub replicate_wait_us: DurationUs,
    /// Peers that a starting daemon asks, spread over the zones.
    pub start_peers: usize,
    /// Wait of a starting daemon for peers to be found and asked while the store is away, and the
    /// time between two such starts as long as nobody holds a configuration.
    pub start_wait_us: DurationUs,
    /// Longest further wait for a peer that is known to have a higher version in force.
    pub start_ahead_wait_us: DurationUs,
    /// Time between two tries to read what is missing.
    pub retry_us: DurationUs,
    /// Silence of the peers after which a daemon reads the head itself.
    pub silence_us: DurationUs,
    /// Sections that are asked for at once.
    pub max_asked_sections: usize,
    /// Bytes of sections that are sent along with a push; the rest is pulled.
    pub max_push_bytes: usize,
}

impl Default for ConfigSettings {
    fn default() -> Self {
        Self {
            watchers_per_zone: 2,
            push_fanout: 4,
            wanted_zones: 2,
            replicate_wait_us: DurationUs::from_ms(1_000),
            start_peers: 12,
            start_wait_us: DurationUs::from_ms(3_000),
            start_ahead_wait_us: DurationUs::from_ms(30_000),
            retry_us: DurationUs::from_ms(200),
            silence_us: DurationUs::from_ms(10_000),
            max_asked_sections: 256,
            max_push_bytes: 65_536,
        }
    }
}

/// Holds the versions that a daemon has in force, holds whole, or is reading.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ConfigTable {
    /// Highest version that is held whole.
    pub(super) held: Option<HeadObject>,
    /// Version held before, which a push to peers starts from.
    #[serde(skip)]
    pub(super) held_before: Option<HeadObject>,
    /// Version in force.
    pub(super) in_force: Option<ConfigVersion>,
    /// Version that was in force before it.
    pub(super) in_force_before: Option<ConfigVersion>,
    /// Version that couldn't be put in force.
    pub(super) rejected: Option<ConfigVersion>,
    /// Version whose sections are being read.
    pub(super) candidate: Option<Candidate>,
    pub(super) replication: Option<Replication>,
    pub(super) gathering: Option<Gathering>,
    #[serde(skip)]
    pub(super) sections: BTreeMap<SectionHash, Section>,
}

/// Holds a version whose sections are being read.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Candidate {
    pub(super) head: HeadObject,
    pub(super) missing: BTreeSet<SectionHash>,
    /// Peer that told of it, if one did.
    pub(super) source: Option<Incarnation>,
    pub(super) tried_at_us: Option<TimeUs>,
    pub(super) tries: u32,
}

/// Holds what a starting daemon still waits for.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Gathering {
    pub(super) since_us: TimeUs,
    pub(super) asked_peers: BTreeSet<Incarnation>,
}

impl ConfigTable {
    /// Returns the highest version that is held whole, or 0.
    pub(super) fn held_version(&self) -> ConfigVersion {
        self.held
            .as_ref()
            .map_or(ConfigVersion::new(0), |h| h.version)
    }

    /// Returns the highest version that is known here, whole or not.
    pub(super) fn known_version(&self) -> ConfigVersion {
        let candidate = self.candidate.as_ref();
        let candidate = candidate.map_or(ConfigVersion::new(0), |c| c.head.version);
        self.held_version().max(candidate)
    }

    /// Starts to read a version, unless one as high is known; returns whether it did.
    pub(super) fn try_learn(&mut self, head: HeadObject, source: Option<Incarnation>) -> bool {
        if head.version <= self.known_version() {
            return false;
        }
        let missing = head.sections.values();
        let missing = missing
            .filter(|hash| !self.sections.contains_key(*hash))
            .copied()
            .collect();
        self.candidate = Some(Candidate {
            head,
            missing,
            source,
            tried_at_us: None,
            tries: 0,
        });
        true
    }

    /// Keeps a section that the version being read needs.
    pub(super) fn keep(&mut self, section: Section) {
        let Some(candidate) = &mut self.candidate else {
            return;
        };
        if candidate.missing.remove(&section.hash()) {
            self.sections.insert(section.hash(), section);
        }
    }

    /// Lets the next sections be asked for at once, of the same source: what came was only as
    /// much as fits in a message.
    pub(super) fn continue_reading(&mut self) {
        if let Some(candidate) = &mut self.candidate {
            candidate.tried_at_us = None;
            candidate.tries = 0;
        }
    }

    /// Makes the version being read the one that is held, once nothing of it is missing.
    pub(super) fn try_hold(&mut self) -> Option<ConfigVersion> {
        let candidate = self.candidate.take_if(|c| c.missing.is_empty())?;
        let version = candidate.head.version;
        self.held_before = self.held.replace(candidate.head);
        self.drop_unused();
        Some(version)
    }

    /// Returns the sections of these names that are held.
    pub(super) fn find<'a>(
        &self,
        hashes: impl IntoIterator<Item = &'a SectionHash>,
    ) -> Vec<Section> {
        let find = |hash| self.sections.get(hash).cloned();
        hashes.into_iter().filter_map(find).collect()
    }

    fn drop_unused(&mut self) {
        let heads = [self.held.as_ref(), self.held_before.as_ref()];
        let used: BTreeSet<&SectionHash> = heads
            .into_iter()
            .flatten()
            .flat_map(|head| head.sections.values())
            .collect();
        self.sections.retain(|hash, _| used.contains(hash));
    }
}
