//! One daemon's replica of the configuration.

use statig::blocking::StateMachine;
use statig::prelude::*;
use wisteriahitch_config::{Section, SectionHash};
use wisteriahitch_types::{Code, ConfigVersion, Incarnation, TimeUs};

use super::phase::{PhaseContext, PhaseEvent, PhaseMachine};
use super::replication::Replication;
use super::{
    ConfigCommand, ConfigEvent, ConfigPhase, ConfigSettings, ConfigTable, HeadChange, HeadObject,
    HolderCounts, PullAnswer, PushAnswer,
};
use crate::fleet::Membership;

/// Configuration replica of one daemon, whose version in force never decreases.
///
/// A version is put in force only if it is higher than all previous ones, and only after peers in
/// other availability zones have stored it or a bounded wait for them has expired.
pub struct ConfigReplica {
    pub(super) settings: ConfigSettings,
    pub(super) table: ConfigTable,
    pub(super) phase: StateMachine<PhaseMachine>,
    pub(super) phase_context: PhaseContext,
    pub(super) is_watching: bool,
    /// When a peer or the store last sent a version or head.
    pub(super) last_contact_at_us: TimeUs,
    /// When a head was last requested from the store or a peer.
    pub(super) last_request_at_us: TimeUs,
    /// Actions collected while an event is processed.
    pub(super) commands: Vec<ConfigCommand>,
}

impl ConfigReplica {
    /// Creates an empty replica; the first event must be [`ConfigEvent::Restart`].
    pub fn new(settings: ConfigSettings) -> Self {
        Self {
            settings,
            table: ConfigTable::default(),
            phase: PhaseMachine.state_machine(),
            phase_context: PhaseContext::default(),
            is_watching: false,
            last_contact_at_us: TimeUs::ZERO,
            last_request_at_us: TimeUs::ZERO,
            commands: Vec::new(),
        }
    }

    /// Processes an event at time `now` and returns the actions to perform.
    pub fn handle(
        &mut self,
        event: ConfigEvent,
        now: TimeUs,
        members: &Membership,
    ) -> Vec<ConfigCommand> {
        match event {
            ConfigEvent::Restart => self.restart(now, members),
            ConfigEvent::Tick => self.tick(now, members),
            ConfigEvent::StoreHead(head) => self.handle_store_head(head, now),
            ConfigEvent::StoreFailed => {}
            ConfigEvent::StoreHeadCorrupt => self.report_corrupt(self.table.known_version()),
            ConfigEvent::SectionRead { hash, text } => self.handle_section_read(hash, text),
            ConfigEvent::SectionFailed(_) => {}
            ConfigEvent::PeerHead { from, head } => self.handle_peer_head(from, head, now),
            ConfigEvent::PeerSections { from: _, sections } => {
                self.handle_pulled_sections(sections)
            }
            ConfigEvent::PeerFailed(_) => {}
            ConfigEvent::PeerVersion { from, version } => {
                self.last_contact_at_us = now;
                self.record_holder(from, version, members);
            }
            ConfigEvent::PushAnswered { to, answer } => {
                self.record_holder(to, answer.stored_version, members);
            }
            ConfigEvent::Rejected(version) => self.reject(version),
        }
        self.advance(now, members);
        std::mem::take(&mut self.commands)
    }

    /// Processes a version pushed by a peer and returns whether it is stored completely, with the
    /// actions to perform.
    pub fn answer_push(
        &mut self,
        from: Incarnation,
        change: &HeadChange,
        sections: Vec<Section>,
        now: TimeUs,
        members: &Membership,
    ) -> (PushAnswer, Vec<ConfigCommand>) {
        self.last_contact_at_us = now;
        if change.version > self.table.known_version() {
            match change.try_apply(self.table.stored_head.as_ref()) {
                Some(head) => self.start_reading(head, Some(from)),
                None => self.pull_head(from),
            }
        }
        sections
            .into_iter()
            .for_each(|s| self.table.store_section(s));
        self.advance(now, members);
        self.record_holder(from, change.version, members);
        let missing = self.table.candidate.as_ref();
        let missing = missing.filter(|c| c.head.version == change.version);
        let answer = PushAnswer {
            stored_version: self.table.stored_version(),
            missing: missing.map_or(Vec::new(), |c| c.missing.iter().copied().collect()),
        };
        (answer, std::mem::take(&mut self.commands))
    }

    /// Returns the stored head, if its version is higher than `after`, and the stored ones of the
    /// `wanted` sections.
    pub fn answer_pull(&self, after: ConfigVersion, wanted: &[SectionHash]) -> PullAnswer {
        let head = self.table.stored_head.clone();
        PullAnswer {
            version: self.table.stored_version(),
            head: head.filter(|head| head.version > after),
            sections: self.table.find_sections(wanted),
        }
    }

    /// Returns the version in force, or `None` if there is none.
    pub fn in_force(&self) -> Option<ConfigVersion> {
        self.table.in_force
    }

    /// Returns the head of the highest version whose sections are all stored.
    pub fn stored_head(&self) -> Option<&HeadObject> {
        self.table.stored_head.as_ref()
    }

    /// Returns the current state.
    pub fn phase(&self) -> ConfigPhase {
        self.phase.state().into()
    }

    /// Returns the stored data, for the operators' state dump.
    pub fn table(&self) -> &ConfigTable {
        &self.table
    }

    /// Returns whether this daemon watches the head in the store.
    pub fn is_watching(&self) -> bool {
        self.is_watching
    }

    /// Returns how many other daemons are known to have stored the highest version; reported to
    /// operators.
    pub fn holders(&self, members: &Membership) -> HolderCounts {
        let replication = self.table.replication.as_ref();
        replication.map_or(HolderCounts::default(), |r| r.holders(members))
    }

    pub(super) fn handle_store_head(&mut self, head: Option<HeadObject>, now: TimeUs) {
        self.last_contact_at_us = now;
        if let Some(head) = head {
            self.start_reading(head, None);
        }
        // The store's answer ends the startup sync: when the head was read, no daemon had a higher
        // version.
        self.table.startup_sync = None;
    }

    pub(super) fn handle_peer_head(
        &mut self,
        from: Incarnation,
        head: Option<HeadObject>,
        now: TimeUs,
    ) {
        self.last_contact_at_us = now;
        if let Some(head) = head {
            self.start_reading(head, Some(from));
        }
    }

    pub(super) fn start_reading(&mut self, head: HeadObject, source: Option<Incarnation>) {
        self.table.try_start_reading(head, source);
    }

    pub(super) fn reject(&mut self, version: ConfigVersion) {
        if self.table.in_force != Some(version) {
            return;
        }
        self.table.in_force = self.table.in_force_before.take();
        self.table.rejected = Some(version);
        self.report_corrupt(version);
        self.dispatch(PhaseEvent::Reject);
    }

    pub(super) fn report_corrupt(&mut self, version: ConfigVersion) {
        let code = Code::ConfigCorrupt;
        self.commands.push(ConfigCommand::Report { code, version });
    }

    pub(super) fn pull_head(&mut self, peer: Incarnation) {
        let after = self.table.stored_version();
        self.commands.push(ConfigCommand::PullHead { peer, after });
    }

    /// Performs all steps that are possible now: request missing sections, store a complete
    /// version, replicate it and put it in force.
    pub(super) fn advance(&mut self, now: TimeUs, members: &Membership) {
        if self.table.startup_sync.is_some() {
            return;
        }
        let source = self.table.candidate.as_ref().and_then(|c| c.source);
        if let Some(version) = self.table.try_store_candidate() {
            self.table.replication = Some(Replication::new(version, now));
            self.record_known_holders(source, version, members);
            self.dispatch(PhaseEvent::Learn { is_whole: true });
        } else if self.table.candidate.is_some() {
            self.dispatch(PhaseEvent::Learn { is_whole: false });
            self.read_missing(now, members);
        }
        if std::mem::take(&mut self.phase_context.should_replicate) || self.is_push_due(now) {
            self.push(now, members);
        }
        self.finish_replication(now, members);
    }

    pub(super) fn dispatch(&mut self, event: PhaseEvent) {
        self.phase_context.has_version_in_force = self.table.in_force.is_some();
        self.phase
            .handle_with_context(&event, &mut self.phase_context);
    }
}
