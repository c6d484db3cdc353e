//! Reading the sections of a version that is known but not whole.

use wisteriahitch_config::{Section, SectionHash};
use wisteriahitch_types::{Incarnation, TimeUs};

use super::{ConfigCommand, ConfigReplica};
use crate::fleet::Membership;

impl ConfigReplica {
    pub(super) fn sections_pulled(&mut self, sections: Vec<Section>) {
        let has_some = !sections.is_empty();
        sections.into_iter().for_each(|s| self.table.keep(s));
        if has_some {
            self.table.continue_reading();
        }
    }

    pub(super) fn section_read(&mut self, hash: SectionHash, text: String) {
        match Section::try_verified(hash, text) {
            Ok(section) => self.table.keep(section),
            Err(_) => self.report_corrupt(self.table.known_version()),
        }
    }

    /// Reads missing sections from a peer that has them, or else from the store, by turns.
    pub(super) fn read_missing(&mut self, now: TimeUs, members: &Membership) {
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
        let wanted = candidate.missing.iter().copied();
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
}
