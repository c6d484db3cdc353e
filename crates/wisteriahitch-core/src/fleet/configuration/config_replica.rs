//! One daemon's replica of the configuration.

use std::collections::BTreeSet;

use statig::blocking::StateMachine;
use statig::prelude::*;
use wisteriahitch_types::{Code, ConfigVersion, Incarnation, TimeUs};

use super::config_table::Gathering;
use super::phase::{PhaseEvent, PhaseMachine, PhaseTurn};
use super::replication::Replication;
use super::{
    ConfigCommand, ConfigEvent, ConfigPhase, ConfigSettings, ConfigTable, HeadChange, HeadObject,
    Holders, PullAnswer, PushAnswer, Section, SectionHash, is_head_watcher,
};
use crate::fleet::{Membership, Rendezvous};

/// Holds the configuration of one daemon and keeps it from ever going back.
///
/// A version is put in force only if it is higher than every one before, and only after peers in
/// other availability zones hold it or a bounded wait for them is over.
pub struct ConfigReplica {
    settings: ConfigSettings,
    table: ConfigTable,
    phase: StateMachine<PhaseMachine>,
    turn: PhaseTurn,
    is_watching: bool,
    heard_at_us: TimeUs,
    asked_at_us: TimeUs,
    commands: Vec<ConfigCommand>,
}

impl ConfigReplica {
    /// Starts with nothing; the first event is [`ConfigEvent::Restart`].
    pub fn new(settings: ConfigSettings) -> Self {
        Self {
            settings,
            table: ConfigTable::default(),
            phase: PhaseMachine.state_machine(),
            turn: PhaseTurn::default(),
            is_watching: false,
            heard_at_us: TimeUs::ZERO,
            asked_at_us: TimeUs::ZERO,
            commands: Vec::new(),
        }
    }

    /// Takes an event at `now` and returns what is to be done.
    pub fn handle(
        &mut self,
        event: ConfigEvent,
        now: TimeUs,
        members: &Membership,
    ) -> Vec<ConfigCommand> {
        match event {
            ConfigEvent::Restart => self.restart(now, members),
            ConfigEvent::Tick => self.tick(now, members),
            ConfigEvent::StoreHead(head) => self.store_answered(head, now),
            ConfigEvent::StoreFailed => {}
            ConfigEvent::StoreHeadCorrupt => self.report_corrupt(self.table.known_version()),
            ConfigEvent::SectionRead { hash, content } => self.section_read(hash, content),
            ConfigEvent::SectionFailed(_) => {}
            ConfigEvent::PeerHead { from, head } => self.peer_head(from, head, now),
            ConfigEvent::PeerSections { from: _, sections } => self.sections_pulled(sections),
            ConfigEvent::PeerFailed(_) => {}
            ConfigEvent::PeerVersion { from, version } => {
                self.heard_at_us = now;
                self.note_holder(from, version, members);
            }
            ConfigEvent::PushAnswered { to, answer } => {
                self.note_holder(to, answer.held_version, members);
            }
            ConfigEvent::Rejected(version) => self.reject(version),
        }
        self.advance(now, members);
        std::mem::take(&mut self.commands)
    }

    /// Takes a version that a peer pushes, and says whether it is held now.
    pub fn answer_push(
        &mut self,
        from: Incarnation,
        change: &HeadChange,
        sections: Vec<Section>,
        now: TimeUs,
        members: &Membership,
    ) -> (PushAnswer, Vec<ConfigCommand>) {
        self.heard_at_us = now;
        if change.version > self.table.known_version() {
            match change.try_apply(self.table.held.as_ref()) {
                Some(head) => self.learn(head, Some(from)),
                None => self.pull_head(from),
            }
        }
        sections.into_iter().for_each(|s| self.table.keep(s));
        self.advance(now, members);
        self.note_holder(from, change.version, members);
        let missing = self.table.candidate.as_ref();
        let missing = missing.filter(|c| c.head.version == change.version);
        let answer = PushAnswer {
            held_version: self.table.held_version(),
            missing: missing.map_or(Vec::new(), |c| c.missing.iter().cloned().collect()),
        };
        (answer, std::mem::take(&mut self.commands))
    }

    /// Gives a peer the head, if it is above `after`, and the `wanted` sections that are held.
    pub fn answer_pull(&self, after: ConfigVersion, wanted: &[SectionHash]) -> PullAnswer {
        let head = self.table.held.clone();
        PullAnswer {
            version: self.table.held_version(),
            head: head.filter(|head| head.version > after),
            sections: self.table.find(wanted),
        }
    }

    /// Returns the version in force, if there is one.
    pub fn in_force(&self) -> Option<ConfigVersion> {
        self.table.in_force
    }

    /// Returns the highest head that is held whole.
    pub fn held(&self) -> Option<&HeadObject> {
        self.table.held.as_ref()
    }

    /// Returns the state.
    pub fn phase(&self) -> ConfigPhase {
        self.phase.state().into()
    }

    /// Returns what is held, for the dump.
    pub fn table(&self) -> &ConfigTable {
        &self.table
    }

    /// Returns whether this daemon is to watch the head.
    pub fn is_watching(&self) -> bool {
        self.is_watching
    }

    /// Returns how many others are known to hold the highest version, which an operator is told.
    pub fn holders(&self, members: &Membership) -> Holders {
        let replication = self.table.replication.as_ref();
        replication.map_or(Holders::default(), |r| r.holders(members))
    }

    fn restart(&mut self, now: TimeUs, members: &Membership) {
        self.table = ConfigTable::default();
        self.is_watching = false;
        self.heard_at_us = now;
        self.dispatch(PhaseEvent::Restart);
        self.gather(now, members);
    }

    /// Asks the store and peers of every zone, before anything is put in force.
    fn gather(&mut self, now: TimeUs, members: &Membership) {
        self.asked_at_us = now;
        self.commands.push(ConfigCommand::ReadHead);
        self.table.gathering = Some(Gathering {
            since_us: now,
            asked_peers: BTreeSet::new(),
        });
        self.ask_found_peers(members);
    }

    /// Asks peers that membership has found since; a daemon that starts knows none at first.
    fn ask_found_peers(&mut self, members: &Membership) {
        let Some(gathering) = &mut self.table.gathering else {
            return;
        };
        let rank = Rendezvous::new("config-start", &members.me().incarnation.to_string());
        let peers = members.peers().map(|peer| peer.incarnation);
        let ranked = rank.top(peers, usize::MAX, |incarnation| {
            incarnation.get().to_le_bytes().to_vec()
        });
        let room = self.settings.start_peers - gathering.asked_peers.len();
        let found = ranked.into_iter();
        let found = found.filter(|peer| !gathering.asked_peers.contains(peer));
        let found: Vec<Incarnation> = found.take(room).collect();
        gathering.asked_peers.extend(&found);
        for peer in found {
            self.pull_head(peer);
        }
    }

    fn tick(&mut self, now: TimeUs, members: &Membership) {
        self.ask_found_peers(members);
        self.end_gathering(now, members);
        self.follow_watch(members);
        if now.since(self.asked_at_us) < self.settings.retry_us {
            return;
        }
        let is_idle = self.table.gathering.is_none() && self.table.candidate.is_none();
        let is_empty = self.table.held.is_none();
        let is_start_due = now.since(self.asked_at_us) >= self.settings.start_wait_us;
        let is_silent = now.since(self.heard_at_us) >= self.settings.silence_us;
        if is_idle && is_empty && is_start_due {
            self.gather(now, members);
        } else if is_idle && is_silent {
            // The peers that should tell of new versions may be cut off themselves; without this
            // the daemon would go on with old rules as long as nobody tells it.
            self.asked_at_us = now;
            self.heard_at_us = now;
            self.commands.push(ConfigCommand::ReadHead);
        } else {
            self.pull_from_ahead(now, members);
        }
    }

    fn pull_from_ahead(&mut self, now: TimeUs, members: &Membership) {
        let known = self.table.known_version();
        let ahead = members
            .peers()
            .filter(|peer| peer.config_version > known)
            .max_by_key(|peer| peer.config_version);
        if let Some(peer) = ahead {
            self.asked_at_us = now;
            self.pull_head(peer.incarnation);
        }
    }

    fn follow_watch(&mut self, members: &Membership) {
        let should_watch = is_head_watcher(members, self.settings.watchers_per_zone);
        if should_watch != self.is_watching {
            self.is_watching = should_watch;
            self.commands.push(ConfigCommand::WatchHead(should_watch));
        }
    }

    fn store_answered(&mut self, head: Option<HeadObject>, now: TimeUs) {
        self.heard_at_us = now;
        if let Some(head) = head {
            self.learn(head, None);
        }
        // The store's word ends the gathering: when it was read, nobody held a higher version.
        self.table.gathering = None;
    }

    fn peer_head(&mut self, from: Incarnation, head: Option<HeadObject>, now: TimeUs) {
        self.heard_at_us = now;
        if let Some(head) = head {
            self.learn(head, Some(from));
        }
    }

    fn sections_pulled(&mut self, sections: Vec<Section>) {
        let has_some = !sections.is_empty();
        sections.into_iter().for_each(|s| self.table.keep(s));
        if has_some {
            self.table.continue_reading();
        }
    }

    fn learn(&mut self, head: HeadObject, source: Option<Incarnation>) {
        self.table.try_learn(head, source);
    }

    /// Goes on without the store once peers had time to be found and to answer. Taking the first
    /// answer would put an older version in force while a peer that holds a higher one isn't
    /// known yet, or while its answer was lost.
    fn end_gathering(&mut self, now: TimeUs, members: &Membership) {
        let Some(gathering) = &self.table.gathering else {
            return;
        };
        let waited_us = now.since(gathering.since_us);
        let is_peer_ahead = members.highest_peer_config() > Some(self.table.known_version());
        let wait_us = match is_peer_ahead {
            true => self.settings.start_wait_us + self.settings.start_ahead_wait_us,
            false => self.settings.start_wait_us,
        };
        if waited_us >= wait_us {
            self.table.gathering = None;
        }
    }

    fn section_read(&mut self, hash: SectionHash, content: Vec<u8>) {
        match Section::try_checked(hash, content) {
            Some(section) => self.table.keep(section),
            None => self.report_corrupt(self.table.known_version()),
        }
    }

    fn reject(&mut self, version: ConfigVersion) {
        if self.table.in_force != Some(version) {
            return;
        }
        self.table.in_force = self.table.in_force_before.take();
        self.table.rejected = Some(version);
        self.report_corrupt(version);
        self.dispatch(PhaseEvent::Reject);
    }

    fn report_corrupt(&mut self, version: ConfigVersion) {
        let code = Code::ConfigCorrupt;
        self.commands.push(ConfigCommand::Report { code, version });
    }

    fn pull_head(&mut self, peer: Incarnation) {
        let after = self.table.held_version();
        self.commands.push(ConfigCommand::PullHead { peer, after });
    }

    fn note_holder(&mut self, peer: Incarnation, version: ConfigVersion, members: &Membership) {
        let Some(replication) = &mut self.table.replication else {
            return;
        };
        if version >= replication.version {
            replication.add_holder(members, peer);
        }
    }

    /// Goes as far as it can: read what is missing, hold, hand on, put in force.
    fn advance(&mut self, now: TimeUs, members: &Membership) {
        if self.table.gathering.is_some() {
            return;
        }
        let source = self.table.candidate.as_ref().and_then(|c| c.source);
        if let Some(version) = self.table.try_hold() {
            self.table.replication = Some(Replication::new(version, now));
            self.note_known_holders(source, version, members);
            self.dispatch(PhaseEvent::Learn { is_whole: true });
        } else if self.table.candidate.is_some() {
            self.dispatch(PhaseEvent::Learn { is_whole: false });
            self.read_missing(now, members);
        }
        if std::mem::take(&mut self.turn.wants_replication) || self.is_push_due(now) {
            self.push(now, members);
        }
        self.finish_replication(now, members);
    }

    fn note_known_holders(
        &mut self,
        source: Option<Incarnation>,
        version: ConfigVersion,
        members: &Membership,
    ) {
        if let Some(source) = source {
            self.note_holder(source, version, members);
        }
        for peer in members.peers() {
            self.note_holder(peer.incarnation, peer.config_version, members);
        }
    }

    /// Reads missing sections from a peer that has them, or else from the store, by turns.
    fn read_missing(&mut self, now: TimeUs, members: &Membership) {
        let retry_us = self.settings.retry_us;
        let Some(candidate) = &mut self.table.candidate else {
            return;
        };
        let is_due = candidate
            .tried_at_us
            .is_none_or(|tried| now.since(tried) >= retry_us);
        if !is_due {
            return;
        }
        candidate.tried_at_us = Some(now);
        candidate.tries += 1;
        let version = candidate.head.version;
        let is_holder = |peer: &Incarnation| members.by_incarnation(*peer).is_some();
        let source = candidate.source.filter(is_holder).or_else(|| {
            let mut peers = members.peers();
            peers
                .find(|peer| peer.config_version >= version)
                .map(|peer| peer.incarnation)
        });
        let wanted = candidate.missing.iter().cloned();
        let wanted: Vec<SectionHash> = wanted.take(self.settings.max_asked_sections).collect();
        match source.filter(|_| candidate.tries % 2 == 1) {
            Some(peer) => self
                .commands
                .push(ConfigCommand::PullSections { peer, wanted }),
            None => self
                .commands
                .extend(wanted.into_iter().map(ConfigCommand::ReadSection)),
        }
    }

    /// Returns whether peers that don't hold the version are to be asked once more.
    fn is_push_due(&self, now: TimeUs) -> bool {
        let replication = self.table.replication.as_ref();
        self.phase() == ConfigPhase::Replicating
            && replication.is_some_and(|r| now.since(r.pushed_at_us) >= self.settings.retry_us)
    }

    fn push(&mut self, now: TimeUs, members: &Membership) {
        let Some(head) = &self.table.held else {
            return;
        };
        let base = self.table.held_before.clone().unwrap_or_default();
        let change = HeadChange::between(&base, head);
        let changed = change.sections.values().flatten();
        let mut sections = self.table.find(changed);
        let mut room_bytes = self.settings.max_push_bytes;
        sections.retain(|section| {
            let size = section.content.len();
            let fits = size <= room_bytes;
            room_bytes = room_bytes.saturating_sub(if fits { size } else { 0 });
            fits
        });
        let Some(replication) = &mut self.table.replication else {
            return;
        };
        replication.pushed_at_us = now;
        replication.choose_targets(members, self.settings.push_fanout);
        for peer in replication.targets.clone() {
            self.commands.push(ConfigCommand::Push {
                peer,
                change: change.clone(),
                sections: sections.clone(),
            });
        }
    }

    fn finish_replication(&mut self, now: TimeUs, members: &Membership) {
        let Some(replication) = &self.table.replication else {
            return;
        };
        if self.phase() != ConfigPhase::Replicating {
            return;
        }
        let waited_us = now.since(replication.started_at_us);
        let is_enough = replication.is_enough(members, self.settings.wanted_zones);
        // Peers that can't be reached mustn't keep an accepted version out of force for good.
        if is_enough || waited_us >= self.settings.replicate_wait_us {
            self.dispatch(PhaseEvent::Replicated);
            self.dispatch(PhaseEvent::Apply);
        }
        if std::mem::take(&mut self.turn.wants_apply) {
            self.apply();
        }
    }

    fn apply(&mut self) {
        let Some(head) = self.table.held.clone() else {
            return;
        };
        if self.table.in_force >= Some(head.version) {
            return;
        }
        self.table.in_force_before = self.table.in_force.replace(head.version);
        let sections = self.table.find(head.sections.values());
        self.commands.push(ConfigCommand::Apply { head, sections });
    }

    fn dispatch(&mut self, event: PhaseEvent) {
        self.turn.has_version_in_force = self.table.in_force.is_some();
        self.phase.handle_with_context(&event, &mut self.turn);
    }
}
