//! Replication of a stored version to peers, after which it is put in force.

use wisteriahitch_types::{ConfigVersion, Incarnation, TimeUs};

use super::phase::PhaseEvent;
use super::{ConfigCommand, ConfigPhase, ConfigReplica, HeadChange};
use crate::fleet::Membership;

impl ConfigReplica {
    pub(super) fn record_holder(
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

    pub(super) fn record_known_holders(
        &mut self,
        source: Option<Incarnation>,
        version: ConfigVersion,
        members: &Membership,
    ) {
        if let Some(source) = source {
            self.record_holder(source, version, members);
        }
        for peer in members.peers() {
            self.record_holder(peer.incarnation, peer.config_version, members);
        }
    }

    /// Returns whether the version is to be pushed again to peers that have not stored it.
    pub(super) fn is_push_due(&self, now: TimeUs) -> bool {
        let replication = self.table.replication.as_ref();
        self.phase() == ConfigPhase::Replicating
            && replication
                .is_some_and(|r| now.since(r.pushed_at_us) >= self.settings.retry_interval_us)
    }

    pub(super) fn push(&mut self, now: TimeUs, members: &Membership) {
        let Some(head) = &self.table.stored_head else {
            return;
        };
        let base = self.table.previous_stored_head.clone().unwrap_or_default();
        let change = HeadChange::between(&base, head);
        let changed = change.sections.values().flatten();
        let mut sections = self.table.find_sections(changed);
        let mut remaining_bytes = self.settings.max_push_bytes;
        sections.retain(|section| {
            let size = section.text().len();
            let fits = size <= remaining_bytes;
            remaining_bytes = remaining_bytes.saturating_sub(if fits { size } else { 0 });
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
        let has_enough_holders =
            replication.has_enough_holders(members, self.settings.min_replica_zones);
        // Unreachable peers must not keep an accepted version out of force forever.
        if has_enough_holders || waited_us >= self.settings.replication_timeout_us {
            self.dispatch(PhaseEvent::Replicated);
            self.dispatch(PhaseEvent::Apply);
        }
        if std::mem::take(&mut self.phase_context.should_apply) {
            self.apply();
        }
    }

    pub(super) fn apply(&mut self) {
        let Some(head) = self.table.stored_head.clone() else {
            return;
        };
        if self.table.in_force >= Some(head.version) {
            return;
        }
        self.table.in_force_before = self.table.in_force.replace(head.version);
        let sections = self.table.find_sections(head.sections.values());
        self.commands.push(ConfigCommand::Apply { head, sections });
    }
}
