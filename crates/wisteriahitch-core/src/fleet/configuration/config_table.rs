//! Stored configuration data of a daemon, and the settings of its replication.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use wisteriahitch_config::{Section, SectionHash};
use wisteriahitch_types::{ConfigVersion, DurationUs, Incarnation, TimeUs};

use super::HeadObject;
use super::replication::Replication;

/// Times and limits of configuration replication.
#[derive(Clone, Debug, Serialize)]
pub struct ConfigSettings {
    /// Number of daemons in each availability zone that watch the head in the store.
    pub watchers_per_zone: usize,
    /// Number of peers that a new version is pushed to.
    pub push_fanout: usize,
    /// Number of other availability zones that must have stored a version before it is put in
    /// force.
    #[serde(rename = "wanted_zones")]
    pub min_replica_zones: usize,
    /// Maximum wait for these zones; after it the version is put in force without them.
    #[serde(rename = "replicate_wait_us")]
    pub replication_timeout_us: DurationUs,
    /// Maximum number of peers that a starting daemon asks for their head.
    #[serde(rename = "start_peers")]
    pub max_startup_peers: usize,
    /// How long a starting daemon waits for peers to be discovered and to answer while the store is
    /// unavailable. Also the time between two startup syncs while no configuration is found.
    #[serde(rename = "start_wait_us")]
    pub startup_timeout_us: DurationUs,
    /// Additional wait for a peer that is known to have a higher version in force.
    #[serde(rename = "start_ahead_wait_us")]
    pub startup_ahead_timeout_us: DurationUs,
    /// Time between two attempts to read missing data, and between two pushes of a version.
    #[serde(rename = "retry_us")]
    pub retry_interval_us: DurationUs,
    /// Time without messages from peers or the store after which a daemon reads the head itself.
    #[serde(rename = "silence_us")]
    pub silence_timeout_us: DurationUs,
    /// Maximum number of sections in one request.
    #[serde(rename = "max_asked_sections")]
    pub max_requested_sections: usize,
    /// Maximum bytes of sections sent with a push; peers request the rest.
    pub max_push_bytes: usize,
}

impl Default for ConfigSettings {
    fn default() -> Self {
        Self {
            watchers_per_zone: 2,
            push_fanout: 4,
            min_replica_zones: 2,
            replication_timeout_us: DurationUs::from_ms(1_000),
            max_startup_peers: 12,
            startup_timeout_us: DurationUs::from_ms(3_000),
            startup_ahead_timeout_us: DurationUs::from_ms(30_000),
            retry_interval_us: DurationUs::from_ms(200),
            silence_timeout_us: DurationUs::from_ms(10_000),
            max_requested_sections: 256,
            max_push_bytes: 65_536,
        }
    }
}

/// Versions that a daemon has in force, has stored completely, or is reading.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ConfigTable {
    /// Head of the highest version whose sections are all stored.
    #[serde(rename = "held")]
    pub(super) stored_head: Option<HeadObject>,
    /// Head stored before that one; a push sends the difference to it.
    #[serde(skip)]
    pub(super) previous_stored_head: Option<HeadObject>,
    /// Version in force.
    pub(super) in_force: Option<ConfigVersion>,
    /// Version that was in force before `in_force`; restored if the latter is rejected.
    pub(super) in_force_before: Option<ConfigVersion>,
    /// Last version that could not be put in force.
    pub(super) rejected: Option<ConfigVersion>,
    /// Version whose sections are being read.
    pub(super) candidate: Option<Candidate>,
    /// Replication progress of the stored version.
    pub(super) replication: Option<Replication>,
    /// Search for the highest version; `None` if it has ended. No version is put in force before.
    #[serde(rename = "gathering")]
    pub(super) startup_sync: Option<StartupSync>,
    /// Sections of the stored heads and of the version being read.
    #[serde(skip)]
    pub(super) sections: BTreeMap<SectionHash, Section>,
}

/// A version whose sections are being read.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Candidate {
    pub(super) head: HeadObject,
    /// Sections that are not stored yet.
    pub(super) missing: BTreeSet<SectionHash>,
    /// Peer that sent the head; `None` if it came from the store.
    pub(super) source: Option<Incarnation>,
    #[serde(rename = "tried_at_us")]
    pub(super) last_attempt_at_us: Option<TimeUs>,
    /// Number of requests for missing sections since a peer last sent some.
    #[serde(rename = "tries")]
    pub(super) attempts: u32,
}

/// Progress of a starting daemon's search for the highest version.
#[derive(Clone, Debug, Serialize)]
pub(super) struct StartupSync {
    #[serde(rename = "since_us")]
    pub(super) started_at_us: TimeUs,
    #[serde(rename = "asked_peers")]
    pub(super) queried_peers: BTreeSet<Incarnation>,
}

impl ConfigTable {
    /// Returns the highest version that is stored completely, or 0.
    pub(super) fn stored_version(&self) -> ConfigVersion {
        self.stored_head
            .as_ref()
            .map_or(ConfigVersion::new(0), |h| h.version)
    }

    /// Returns the highest version that is stored or being read, or 0.
    pub(super) fn known_version(&self) -> ConfigVersion {
        let candidate = self.candidate.as_ref();
        let candidate = candidate.map_or(ConfigVersion::new(0), |c| c.head.version);
        self.stored_version().max(candidate)
    }

    /// Starts reading a version if it is higher than every known one; returns whether it was.
    pub(super) fn try_start_reading(
        &mut self,
        head: HeadObject,
        source: Option<Incarnation>,
    ) -> bool {
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
            last_attempt_at_us: None,
            attempts: 0,
        });
        true
    }

    /// Stores a section if the version being read needs it.
    pub(super) fn store_section(&mut self, section: Section) {
        let Some(candidate) = &mut self.candidate else {
            return;
        };
        if candidate.missing.remove(&section.hash()) {
            self.sections.insert(section.hash(), section);
        }
    }

    /// Allows the next request for sections immediately and from the same source: an answer
    /// contains only as many sections as fit into a message.
    pub(super) fn reset_read_attempts(&mut self) {
        if let Some(candidate) = &mut self.candidate {
            candidate.last_attempt_at_us = None;
            candidate.attempts = 0;
        }
    }

    /// Makes the version being read the stored one once no section is missing; returns that
    /// version.
    pub(super) fn try_store_candidate(&mut self) -> Option<ConfigVersion> {
        let candidate = self.candidate.take_if(|c| c.missing.is_empty())?;
        let version = candidate.head.version;
        self.previous_stored_head = self.stored_head.replace(candidate.head);
        self.remove_unused_sections();
        Some(version)
    }

    /// Returns the stored sections with these hashes.
    pub(super) fn find_sections<'a>(
        &self,
        hashes: impl IntoIterator<Item = &'a SectionHash>,
    ) -> Vec<Section> {
        let find = |hash| self.sections.get(hash).cloned();
        hashes.into_iter().filter_map(find).collect()
    }

    fn remove_unused_sections(&mut self) {
        let heads = [
            self.stored_head.as_ref(),
            self.previous_stored_head.as_ref(),
        ];
        let used: BTreeSet<&SectionHash> = heads
            .into_iter()
            .flatten()
            .flat_map(|head| head.sections.values())
            .collect();
        self.sections.retain(|hash, _| used.contains(hash));
    }
}
