//! Reads the missing sections of a known version.

use wisteriahitch_config::{Section, SectionHash};
use wisteriahitch_types::{Incarnation, TimeUs};

use super::{ConfigCommand, ConfigReplica};
use crate::fleet::Membership;

impl ConfigReplica {
    pub(super) fn handle_pulled_sections(&mut self, sections: Vec<Section>) {
        let has_some = !sections.is_empty();
        sections
            .into_iter()
            .for_each(|s| self.table.store_section(s));
        if has_some {
            self.table.reset_read_attempts();
        }
    }

    pub(super) fn handle_section_read(&mut self, hash: SectionHash, text: String) {
        match Section::try_verified(hash, text) {
            Ok(section) => self.table.store_section(section),
            Err(_) => self.report_corrupt(self.table.known_version()),
        }
    }

    /// Requests missing sections, alternately from a peer that has them and from the store.
    pub(super) fn read_missing(&mut self, now: TimeUs, members: &Membership) {
        let retry_interval_us = self.settings.retry_interval_us;
        let Some(candidate) = &mut self.table.candidate else {
            return;
        };
        let is_due = candidate
            .last_attempt_at_us
            .is_none_or(|last| now.since(last) >= retry_interval_us);
        if !is_due {
            return;
        }
        candidate.last_attempt_at_us = Some(now);
        candidate.attempts += 1;
        let version = candidate.head.version;
        let is_holder = |peer: &Incarnation| members.by_incarnation(*peer).is_some();
        let source = candidate.source.filter(is_holder).or_else(|| {
            let mut peers = members.peers();
            peers
                .find(|peer| peer.config_version >= version)
                .map(|peer| peer.incarnation)
        });
        let wanted = candidate.missing.iter().copied();
        let wanted: Vec<SectionHash> = wanted.take(self.settings.max_requested_sections).collect();
        match source.filter(|_| candidate.attempts % 2 == 1) {
            Some(peer) => self
                .commands
                .push(ConfigCommand::PullSections { peer, wanted }),
            None => self
                .commands
                .extend(wanted.into_iter().map(ConfigCommand::ReadSection)),
        }
    }
}
