//! Replication of a stored version to peers, after which it is put in force.

use wisteriahitch_types::{ConfigVersion, Incarnation, TimeUs};

use super::phase::PhaseEvent;
use super::{ConfigCommand, ConfigPhase, ConfigReplica, HeadChange};
use crate::fleet::Membership;

impl ConfigReplica {
    pub(super) fn note_holder(
        &mut self,
        peer: Incarnation,
        version: ConfigVersion,
        members: &Membership,
    ) {
        let Some(replication) = &mut self.table.replication else {
            return;
        };
        if version >= replication.version {
            replication.add_holder(members, peer);
        }
    }

    pub(super) fn note_known_holders(
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

    /// Returns whether the version is to be pushed again to peers that have not stored it.
    pub(super) fn is_push_due(&self, now: TimeUs) -> bool {
        let replication = self.table.replication.as_ref();
        self.phase() == ConfigPhase::Replicating
            && replication.is_some_and(|r| now.since(r.pushed_at_us) >= self.settings.retry_us)
    }

    pub(super) fn push(&mut self, now: TimeUs, members: &Membership) {
        let Some(head) = &self.table.held else {
            return;
        };
        let base = self.table.held_before.clone().unwrap_or_default();
        let change = HeadChange::between(&base, head);
        let changed = change.sections.values().flatten();
        let mut sections = self.table.find(changed);
        let mut room_bytes = self.settings.max_push_bytes;
        sections.retain(|section| {
            let size = section.text().len();
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

    pub(super) fn finish_replication(&mut self, now: TimeUs, members: &Membership) {
        let Some(replication) = &self.table.replication else {
            return;
        };
        if self.phase() != ConfigPhase::Replicating {
            return;
        }
        let waited_us = now.since(replication.started_at_us);
        let is_enough = replication.is_enough(members, self.settings.wanted_zones);
        // Unreachable peers must not keep an accepted version out of force forever.
        if is_enough || waited_us >= self.settings.replicate_wait_us {
            self.dispatch(PhaseEvent::Replicated);
            self.dispatch(PhaseEvent::Apply);
        }
        if std::mem::take(&mut self.turn.wants_apply) {
            self.apply();
        }
    }

    pub(super) fn apply(&mut self) {
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
}
